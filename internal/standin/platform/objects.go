package platform

import (
	"crypto/md5"
	"crypto/sha256"
	"encoding/hex"
	"encoding/xml"
	"io"
	"net/http"
	"sync"
)

// unsignedPayload is sent instead of a hash when a client doesn't sign the body.
const unsignedPayload = "UNSIGNED-PAYLOAD"

// objects is the object store: bucket/key to body.
type objects struct {
	mu     sync.Mutex
	bodies map[string][]byte
}

func newObjects() *objects {
	return &objects{bodies: map[string][]byte{}}
}

func (o *objects) get(name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	body, ok := o.bodies[name]
	return body, ok
}

// put returns false if onlyNew is set and the object exists.
func (o *objects) put(name string, body []byte, onlyNew bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.bodies[name]; ok && onlyNew {
		return false
	}
	o.bodies[name] = body
	return true
}

type objectError struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func writeObjectError(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(objectError{Code: code, Message: message})
}

func objectInternalError(w http.ResponseWriter) {
	writeObjectError(w, http.StatusInternalServerError, "InternalError", "We encountered an internal error. Please try again.")
}

func objectName(r *http.Request) string {
	return r.PathValue("bucket") + "/" + r.PathValue("key")
}

func (f *Front) getObject(w http.ResponseWriter, r *http.Request) {
	if !f.admit(w, r, objectInternalError) {
		return
	}
	if !f.platform.reads.Allow() {
		f.platform.count(func(c *Counts) { c.ThrottledReads++ })
		writeObjectError(w, http.StatusServiceUnavailable, "SlowDown", "Please reduce your request rate.")
		return
	}
	f.platform.count(func(c *Counts) { c.ObjectReads++ })
	body, ok := f.platform.objects.get(objectName(r))
	if !ok {
		writeObjectError(w, http.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("ETag", etag(body))
	_, _ = w.Write(body)
}

func (f *Front) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeObjectError(w, http.StatusBadRequest, "IncompleteBody", err.Error())
		return
	}
	if !f.admit(w, r, objectInternalError) {
		return
	}
	if !payloadHashMatches(r, body) {
		writeObjectError(w, http.StatusBadRequest, "XAmzContentSHA256Mismatch", "The provided hash does not match the body.")
		return
	}
	if !f.platform.writes.Allow() {
		f.platform.count(func(c *Counts) { c.ThrottledWrites++ })
		writeObjectError(w, http.StatusServiceUnavailable, "SlowDown", "Please reduce your request rate.")
		return
	}
	f.platform.count(func(c *Counts) { c.ObjectWrites++ })
	onlyNew := r.Header.Get("If-None-Match") == "*"
	apply := func() bool { return f.platform.objects.put(objectName(r), body, onlyNew) }
	f.executeWrite(r, apply, func(applied bool) {
		if !applied {
			writeObjectError(w, http.StatusPreconditionFailed, "PreconditionFailed", "At least one of the pre-conditions did not hold.")
			return
		}
		w.Header().Set("ETag", etag(body))
		w.WriteHeader(http.StatusOK)
	})
}

func etag(body []byte) string {
	sum := md5.Sum(body)
	return `"` + hex.EncodeToString(sum[:]) + `"`
}

func payloadHashMatches(r *http.Request, body []byte) bool {
	want := r.Header.Get("X-Amz-Content-Sha256")
	if want == "" || want == unsignedPayload {
		return true
	}
	sum := sha256.Sum256(body)
	return want == hex.EncodeToString(sum[:])
}
