package replica

import (
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// formatShort is the number from which on a VM understands the short messages. Each side states its number in its first message and sends
// short messages only to a VM of another region that has stated it.
const formatShort = 1

const (
	// maxNames bounds the names that are replaced by numbers in one direction of a connection. With 1,024 names of 20 bytes, both ends
	// need about 60 KB each (estimated).
	maxNames = 1024
	// maxNameBytes bounds a name in a short message, and maxListedNames the names in a list. A message that exceeds them is sent in its
	// usual form.
	maxNameBytes   = 256
	maxListedNames = 64
)

var (
	errNameTooLong = errors.New("name in a message is too long")
	errNameUnknown = errors.New("number in a message stands for no name")
	errNoPresence  = errors.New("short message doesn't begin with the presence of its fields")
	errListTooLong = errors.New("list of names in a message is too long")
	errRestTooLong = errors.New("other fields of a short message are longer than a frame")
)

// nameEncoder replaces names by numbers. A name is sent in full when it is first used on a connection, and both ends number the names in
// the order in which they are sent, so they can't disagree about a number whatever configuration or targets each of them knows.
type nameEncoder struct {
	numbers map[string]uint64
}

func (n *nameEncoder) encode(e *msgpack.Encoder, name string) error {
	if number, ok := n.numbers[name]; ok {
		return e.EncodeUint(number)
	}
	if n.numbers == nil {
		n.numbers = map[string]uint64{}
	}
	if len(n.numbers) < maxNames {
		n.numbers[name] = uint64(len(n.numbers))
	}
	return e.EncodeString(name)
}

func (n *nameEncoder) encodeList(e *msgpack.Encoder, names []string) error {
	if err := e.EncodeArrayLen(len(names)); err != nil {
		return err
	}
	for _, name := range names {
		if err := n.encode(e, name); err != nil {
			return err
		}
	}
	return nil
}

// nameDecoder is the other end of a nameEncoder.
type nameDecoder struct {
	names []string
}

func (n *nameDecoder) decode(d *msgpack.Decoder) (string, error) {
	code, err := d.PeekCode()
	if err != nil {
		return "", err
	}
	if msgpcode.IsString(code) {
		name, err := decodeName(d)
		if err == nil && len(n.names) < maxNames {
			n.names = append(n.names, name)
		}
		return name, err
	}
	number, err := d.DecodeUint64()
	if err != nil {
		return "", err
	}
	if number >= uint64(len(n.names)) {
		return "", errNameUnknown
	}
	return n.names[number], nil
}

func (n *nameDecoder) decodeList(d *msgpack.Decoder) ([]string, error) {
	count, err := d.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if count < 0 || count > maxListedNames {
		return nil, errListTooLong
	}
	names := make([]string, count)
	for i := range names {
		if names[i], err = n.decode(d); err != nil {
			return nil, err
		}
	}
	return names, nil
}

// decodeName decodes a string without trusting its announced length, which wire.Frame.Decode checks only for the first value.
func decodeName(d *msgpack.Decoder) (string, error) {
	n, err := d.DecodeBytesLen()
	if err != nil {
		return "", err
	}
	if n > maxNameBytes {
		return "", errNameTooLong
	}
	name := make([]byte, max(0, n))
	if err := d.ReadFull(name); err != nil {
		return "", err
	}
	return string(name), nil
}

// fitsShort reports whether names may be part of a short message.
func fitsShort(names ...string) bool {
	if len(names) > maxListedNames {
		return false
	}
	for _, name := range names {
		if len(name) > maxNameBytes {
			return false
		}
	}
	return true
}

// lastSeq holds the sequence numbers of the last short messages in one direction of a connection. A short message has the difference from
// the last one of its type, since the numbers of a VM grow without bound.
type lastSeq struct {
	request, response, release uint64
}

// presence has a bit for each optional field that a short message contains.
type presence uint64

func (p *presence) set(bit presence, present bool) {
	if present {
		*p |= bit
	}
}

func (p presence) has(bit presence) bool {
	return p&bit != 0
}

// codec encodes or decodes the values of a short message one after another, up to the first error.
type codec struct {
	e   *msgpack.Encoder
	d   *msgpack.Decoder
	err error
}

func (c *codec) do(f func() error) {
	if c.err == nil {
		c.err = f()
	}
}

func (c *codec) writeInts(values ...int64) {
	for _, v := range values {
		c.do(func() error { return c.e.EncodeInt(v) })
	}
}

func (c *codec) writeUints(values ...uint64) {
	for _, v := range values {
		c.do(func() error { return c.e.EncodeUint(v) })
	}
}

func (c *codec) readInt() (v int64) {
	c.do(func() (err error) {
		v, err = c.d.DecodeInt64()
		return err
	})
	return v
}

func (c *codec) readUint() (v uint64) {
	c.do(func() (err error) {
		v, err = c.d.DecodeUint64()
		return err
	})
	return v
}

// writeSeq writes the difference between a sequence number and the last one, and makes it the last one.
func (c *codec) writeSeq(last *uint64, seq uint64) {
	c.writeInts(int64(seq - *last))
	*last = seq
}

// readSeq reads what writeSeq has written.
func (c *codec) readSeq(last *uint64) uint64 {
	*last += uint64(c.readInt())
	return *last
}

func (c *codec) readPresence() presence {
	return presence(c.readUint())
}

// Optional fields of a short place request, in the order in which they are sent. The order is part of the format: a later field gets the
// next bit and is sent last, here and in the other short placement messages, so that earlier versions ignore it. It must not be encoded by a
// nameEncoder, since earlier versions would miss the name that gets a number.
const (
	requestRepeat presence = 1 << iota
	requestKey
	requestBody
	requestHomes
	requestAvoid
	requestOrganisation
	requestFlags
)

// shortPlaceRequest is a PlaceRequest in short form. Values after those that are known are ignored, so that later versions can add some.
type shortPlaceRequest struct {
	*PlaceRequest
	seq     *lastSeq
	encoder *nameEncoder
	decoder *nameDecoder
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s shortPlaceRequest) EncodeMsgpack(e *msgpack.Encoder) error {
	var p presence
	p.set(requestRepeat, s.Repeat)
	p.set(requestKey, s.Key != 0)
	p.set(requestBody, s.Body != 0)
	p.set(requestHomes, len(s.Homes) > 0)
	p.set(requestAvoid, len(s.Avoid) > 0)
	p.set(requestOrganisation, s.Organisation != "")
	p.set(requestFlags, s.flags() != 0)
	c := codec{e: e}
	c.writeUints(uint64(p))
	c.writeSeq(&s.seq.request, s.Seq)
	c.do(func() error { return s.encoder.encode(e, s.Pool) })
	c.writeInts(int64(s.Priority), s.LeftMs, s.ObjectiveMs)
	c.writeUints(s.Content, s.Caller)
	if p.has(requestKey) {
		c.writeInts(int64(s.Key))
	}
	if p.has(requestBody) {
		c.writeInts(s.Body)
	}
	if p.has(requestHomes) {
		c.do(func() error { return s.encoder.encodeList(e, s.Homes) })
	}
	if p.has(requestAvoid) {
		c.do(func() error { return s.encoder.encodeList(e, s.Avoid) })
	}
	if p.has(requestOrganisation) {
		c.do(func() error { return s.encoder.encode(e, s.Organisation) })
	}
	if p.has(requestFlags) {
		c.writeUints(s.flags())
	}
	return c.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s shortPlaceRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	c := codec{d: d}
	p := c.readPresence()
	s.Repeat, s.Seq = p.has(requestRepeat), c.readSeq(&s.seq.request)
	c.do(func() (err error) {
		s.Pool, err = s.decoder.decode(d)
		return err
	})
	s.Priority, s.LeftMs, s.ObjectiveMs = int(c.readInt()), c.readInt(), c.readInt()
	s.Content, s.Caller = c.readUint(), c.readUint()
	if p.has(requestKey) {
		s.Key = int(c.readInt())
	}
	if p.has(requestBody) {
		s.Body = c.readInt()
	}
	if p.has(requestHomes) {
		c.do(func() (err error) {
			s.Homes, err = s.decoder.decodeList(d)
			return err
		})
	}
	if p.has(requestAvoid) {
		c.do(func() (err error) {
			s.Avoid, err = s.decoder.decodeList(d)
			return err
		})
	}
	if p.has(requestOrganisation) {
		c.do(func() (err error) {
			s.Organisation, err = s.decoder.decode(d)
			return err
		})
	}
	if p.has(requestFlags) {
		s.setFlags(c.readUint())
	}
	return c.err
}

// Optional fields of a short place response, in the order in which they are sent.
const (
	responseTarget presence = 1 << iota
	responseReason
	responseExpected
	responseWaited
)

// shortPlaceResponse is a PlaceResponse in short form.
type shortPlaceResponse struct {
	*PlaceResponse
	seq     *lastSeq
	encoder *nameEncoder
	decoder *nameDecoder
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s shortPlaceResponse) EncodeMsgpack(e *msgpack.Encoder) error {
	var p presence
	p.set(responseTarget, s.Target != "")
	p.set(responseReason, s.Reason != "")
	p.set(responseExpected, s.ExpectedMs != 0)
	p.set(responseWaited, s.WaitedMs != 0)
	c := codec{e: e}
	c.writeUints(uint64(p))
	c.writeSeq(&s.seq.response, s.Seq)
	if p.has(responseTarget) {
		c.do(func() error { return s.encoder.encode(e, s.Target) })
	}
	if p.has(responseReason) {
		c.do(func() error { return s.encoder.encode(e, string(s.Reason)) })
	}
	if p.has(responseExpected) {
		c.writeInts(s.ExpectedMs)
	}
	if p.has(responseWaited) {
		c.writeInts(s.WaitedMs)
	}
	return c.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s shortPlaceResponse) DecodeMsgpack(d *msgpack.Decoder) error {
	c := codec{d: d}
	p := c.readPresence()
	s.Seq = c.readSeq(&s.seq.response)
	if p.has(responseTarget) {
		c.do(func() (err error) {
			s.Target, err = s.decoder.decode(d)
			return err
		})
	}
	if p.has(responseReason) {
		c.do(func() error {
			reason, err := s.decoder.decode(d)
			s.Reason = placing.Reason(reason)
			return err
		})
	}
	if p.has(responseExpected) {
		s.ExpectedMs = c.readInt()
	}
	if p.has(responseWaited) {
		s.WaitedMs = c.readInt()
	}
	return c.err
}

// Optional fields of a short place release. releaseReport stands for the numbers in the report of the target, of which the pace is sent in
// hundredths. If it is no multiple of a hundredth, releaseExactPace is set and the pace follows as a floating-point number.
const (
	releaseCancelled presence = 1 << iota
	releaseElapsed
	releaseEnding
	releaseReport
	releaseExactPace
	releaseClosedFor
	releaseRateLimit
)

// paceScale is the number of parts of a pace of 1 in which targets report it.
const paceScale = 100

// shortPlaceRelease is a PlaceRelease in short form.
type shortPlaceRelease struct {
	*PlaceRelease
	seq *lastSeq
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s shortPlaceRelease) EncodeMsgpack(e *msgpack.Encoder) error {
	hundredths := int64(s.Report.Pace * paceScale)
	if float64(hundredths+1)/paceScale == s.Report.Pace {
		// The product may be slightly below the integer.
		hundredths++
	}
	var p presence
	p.set(releaseCancelled, s.Cancelled)
	p.set(releaseElapsed, s.ElapsedMs != 0)
	p.set(releaseEnding, s.Ending != 0)
	p.set(releaseReport, s.HasReport)
	p.set(releaseExactPace, s.HasReport && float64(hundredths)/paceScale != s.Report.Pace)
	p.set(releaseClosedFor, s.HasReport && s.Report.ClosedFor != 0)
	p.set(releaseRateLimit, s.HasReport && s.Report.RateLimit != placing.Report{}.RateLimit)
	c := codec{e: e}
	c.writeUints(uint64(p))
	c.writeSeq(&s.seq.release, s.Seq)
	if p.has(releaseElapsed) {
		c.writeInts(s.ElapsedMs)
	}
	if p.has(releaseEnding) {
		c.writeInts(int64(s.Ending))
	}
	if p.has(releaseReport) {
		c.writeInts(int64(s.Report.Running), int64(s.Report.Waiting), int64(s.Report.Slots))
		if p.has(releaseExactPace) {
			c.do(func() error { return e.EncodeFloat64(s.Report.Pace) })
		} else {
			c.writeInts(hundredths)
		}
	}
	if p.has(releaseClosedFor) {
		c.writeInts(int64(s.Report.ClosedFor))
	}
	if p.has(releaseRateLimit) {
		c.do(func() error { return e.Encode(s.Report.RateLimit) })
	}
	return c.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s shortPlaceRelease) DecodeMsgpack(d *msgpack.Decoder) error {
	c := codec{d: d}
	p := c.readPresence()
	s.Cancelled, s.Seq = p.has(releaseCancelled), c.readSeq(&s.seq.release)
	if p.has(releaseElapsed) {
		s.ElapsedMs = c.readInt()
	}
	if p.has(releaseEnding) {
		s.Ending = placing.Result(c.readInt())
	}
	if s.HasReport = p.has(releaseReport); s.HasReport {
		s.Report.Running, s.Report.Waiting, s.Report.Slots = int(c.readInt()), int(c.readInt()), int(c.readInt())
		if p.has(releaseExactPace) {
			c.do(func() (err error) {
				s.Report.Pace, err = d.DecodeFloat64()
				return err
			})
		} else {
			s.Report.Pace = float64(c.readInt()) / paceScale
		}
	}
	if p.has(releaseClosedFor) {
		s.Report.ClosedFor = time.Duration(c.readInt())
	}
	if p.has(releaseRateLimit) {
		c.do(func() error { return d.Decode(&s.Report.RateLimit) })
	}
	return c.err
}

// decodeShort decodes a frame into a short message. The msgpack library panics if the value of a struct is nil.
func decodeShort(frame wire.Frame, message msgpack.CustomDecoder) error {
	if len(frame.Payload) == 0 || !isUnsigned(frame.Payload[0]) {
		return errNoPresence
	}
	return frame.Decode(message)
}

// compactInts encodes a message with integers in as few bytes as they need, which all versions decode. By default msgpack takes 9 bytes
// for each 64-bit integer.
type compactInts struct {
	message any
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (c compactInts) EncodeMsgpack(e *msgpack.Encoder) error {
	e.UseCompactInts(true)
	return e.Encode(c.message)
}

// form returns the type and the form in which a message is sent, and whether that is its short form. The caller holds q.encoding while it
// encodes and queues a short form.
func (q *sendQueue) form(t wire.Type, message any) (sentType wire.Type, form any, short bool) {
	if q.short.Load() {
		switch m := message.(type) {
		case PlaceRequest:
			if fitsShort(m.Pool, m.Organisation) && fitsShort(m.Homes...) && fitsShort(m.Avoid...) {
				return wire.TypeShortPlaceRequest, shortPlaceRequest{PlaceRequest: &m, seq: &q.sentSeq, encoder: &q.sentNames}, true
			}
		case PlaceResponse:
			if fitsShort(m.Target, string(m.Reason)) {
				return wire.TypeShortPlaceResponse, shortPlaceResponse{PlaceResponse: &m, seq: &q.sentSeq, encoder: &q.sentNames}, true
			}
		case PlaceRelease:
			return wire.TypeShortPlaceRelease, shortPlaceRelease{&m, &q.sentSeq}, true
		case Update:
			// Rows and routes take far more than what the short form saves.
			if kindOf(m) == interregion.Reports && fitsShort(m.Distributor) {
				return wire.TypeShortUpdate, shortUpdate{Update: &m, state: &q.sentUpdate, encoder: &q.sentNames}, true
			}
		case Report:
			return wire.TypeShortReport, shortReport{Report: &m, state: &q.sentReport}, true
		}
	}
	return t, compactInts{message}, false
}

// allowShort makes the queue send short messages if the peer understands them and is in another region.
func (q *sendQueue) allowShort(format int, own, other string) {
	if format >= formatShort && own != "" && other != "" && own != other {
		q.short.Store(true)
	}
}
