package ingress

import (
	"bytes"
	"strconv"
	"strings"
)

// maxRecognisedHead bounds a request head that is recognised. net/http alone handles longer ones.
const maxRecognisedHead = 16 << 10

// headState is the result of the search for a request head.
type headState int

const (
	// headIncomplete means that more bytes are needed.
	headIncomplete headState = iota
	// headComplete means that a head of the expected form was found.
	headComplete
	// headUnusual means that the bytes aren't a head of the expected form. Other parsers might disagree on where it ends.
	headUnusual
)

// requestHead describes a recognised request head.
type requestHead struct {
	// length is the number of bytes of the head, including the empty line.
	length int
	// bodyLength is the number of bytes of the body.
	bodyLength int64
	// safe is set if the request has a safe method (RFC 9110, section 9.2.1) and no body.
	safe bool
}

// recogniseHead recognises a request head at the start of data. It accepts a subset of what net/http accepts, in which no parser can
// disagree on where the request ends: HTTP/1.1 with CRLF line ends, a target in origin form, one Host, no Transfer-Encoding, no folded
// lines, at most one Content-Length, and nothing that changes the use of the connection.
func recogniseHead(data []byte) (requestHead, headState) {
	var head requestHead
	hosts, lengths := 0, 0
	for lines := 0; ; lines++ {
		end := bytes.IndexByte(data[head.length:], '\n')
		if end < 0 {
			if len(data) > maxRecognisedHead {
				return head, headUnusual
			}
			return head, headIncomplete
		}
		line := data[head.length : head.length+end]
		head.length += end + 1
		if head.length > maxRecognisedHead || len(line) == 0 || line[len(line)-1] != '\r' {
			return head, headUnusual
		}
		line = line[:len(line)-1]
		switch {
		case lines == 0:
			if !recogniseRequestLine(line, &head) {
				return head, headUnusual
			}
		case len(line) == 0:
			if hosts != 1 {
				return head, headUnusual
			}
			head.safe = head.safe && head.bodyLength == 0
			return head, headComplete
		default:
			if !recogniseField(line, &head, &hosts, &lengths) {
				return head, headUnusual
			}
		}
	}
}

// recogniseRequestLine recognises a request line without its line end.
func recogniseRequestLine(line []byte, head *requestHead) bool {
	method, rest, _ := bytes.Cut(line, []byte{' '})
	target, version, _ := bytes.Cut(rest, []byte{' '})
	if len(method) == 0 || len(target) == 0 || target[0] != '/' || string(version) != "HTTP/1.1" {
		return false
	}
	for _, b := range method {
		if b < 'A' || b > 'Z' {
			return false
		}
	}
	for _, b := range target {
		if b <= ' ' || b >= 0x7f {
			return false
		}
	}
	head.safe = string(method) == "GET" || string(method) == "HEAD"
	return true
}

// recogniseField recognises a header line without its line end.
func recogniseField(line []byte, head *requestHead, hosts, lengths *int) bool {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 {
		return false
	}
	for _, b := range name {
		if !isTokenByte(b) {
			return false
		}
	}
	for _, b := range value {
		if b < ' ' && b != '\t' || b >= 0x7f {
			return false
		}
	}
	value = bytes.Trim(value, " \t")
	switch {
	case isField(name, "Host"):
		*hosts++
		return len(value) > 0 && bytes.Trim(value, hostBytes) == nil
	case isField(name, "Content-Length"):
		*lengths++
		n, err := strconv.ParseUint(string(value), 10, 62)
		head.bodyLength = int64(n)
		return err == nil && *lengths == 1 && value[0] != '+'
	case isField(name, "Connection"):
		return isField(value, "keep-alive")
	case isField(name, "Transfer-Encoding"), isField(name, "Expect"), isField(name, "Upgrade"), isField(name, "Trailer"):
		return false
	}
	return true
}

// hostBytes are the bytes of a Host value that is recognised.
const hostBytes = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_:[]"

// isField reports whether name is the given name of a header field or another token, in any letter case.
func isField(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// isTokenByte reports whether a byte may occur in the name of a header field.
func isTokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
