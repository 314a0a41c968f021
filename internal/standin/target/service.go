package target

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/bronzelever/bronzelever/internal/standin/bundle"
)

const (
	// maxOrderBytes bounds the body of an order.
	maxOrderBytes = 1 << 20
	// markerBytes is the part of an order's body that is searched for the crash marker.
	markerBytes = 64 << 10
	// chunkBytes is the buffer for bundles.
	chunkBytes = 32 << 10
)

// HeaderTarget names the target that answered.
const HeaderTarget = "Standin-Target"

// StatusAnswer is the body of GET /status/{key}.
type StatusAnswer struct {
	Key        string `json:"key"`
	Target     string `json:"target"`
	SliceEpoch uint64 `json:"slice_epoch,string"`
	RequestID  string `json:"request_id"`
}

// OrderAnswer is the body of POST /orders.
type OrderAnswer struct {
	Order     string `json:"order"`
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	// Runs counts the executions of this order on this target.
	Runs int `json:"runs"`
	// BodyChecksum is the checksum of the order's body.
	BodyChecksum string `json:"body_checksum"`
}

// PhotoAnswer is the body of POST /photos.
type PhotoAnswer struct {
	Target    string `json:"target"`
	RequestID string `json:"request_id"`
	Bytes     int64  `json:"bytes"`
	Checksum  string `json:"checksum"`
}

// getStatus is an idempotent keyed read.
func (t *Target) getStatus(w http.ResponseWriter, r *http.Request) {
	t.gate.wait()
	key := r.PathValue("key")
	q := t.newRequest(r, key)
	t.execute(w, r, q, func(*execution) {
		writeJSON(w, http.StatusOK, StatusAnswer{Key: key, Target: t.id(), SliceEpoch: q.sliceEpoch, RequestID: q.id})
	})
}

// postOrder is not idempotent.
func (t *Target) postOrder(w http.ResponseWriter, r *http.Request) {
	t.gate.wait()
	q := t.newRequest(r, "")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		refuseUnread(w, err)
		return
	}
	q.orderKey = r.Header.Get("Idempotency-Key")
	q.crash = q.crash || t.hasMarker(string(body[:min(len(body), markerBytes)]))
	t.execute(w, r, q, func(x *execution) {
		writeJSON(w, http.StatusOK, OrderAnswer{
			Order:        q.orderKey,
			Target:       t.id(),
			RequestID:    q.id,
			Runs:         x.orderRuns,
			BodyChecksum: checksum(body),
		})
	})
}

func checksum(body []byte) string {
	h := bundle.NewHash()
	_, _ = io.Copy(h, bytes.NewReader(body))
	return bundle.Checksum(h)
}

// refuseUnread answers a request whose body didn't arrive. It has not been executed.
func refuseUnread(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	w.Header().Set(headerNotRun, "1")
	http.Error(w, err.Error(), status)
}

// execute runs a small request: it takes a slot, passes the service time, frees the slot and answers.
func (t *Target) execute(w http.ResponseWriter, r *http.Request, q *request, answer func(*execution)) {
	x, why := t.begin(r.Context(), q)
	if why != nil {
		t.writeRefusal(w, why)
		return
	}
	reason := t.work(r.Context(), x)
	t.finish(x, reason)
	if reason != "" {
		t.writeAborted(w, reason)
		return
	}
	w.Header().Set(HeaderTarget, t.id())
	answer(x)
}

func (t *Target) writeRefusal(w http.ResponseWriter, why *refusal) {
	w.Header().Set(headerNotRun, "1")
	w.Header().Set(HeaderTarget, t.id())
	http.Error(w, why.reason, why.status)
}

// writeAborted answers a request that may have had an effect.
func (t *Target) writeAborted(w http.ResponseWriter, reason string) {
	if reason == abortedCancel {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderTarget, t.id())
	http.Error(w, reason, http.StatusGatewayTimeout)
}

// postPhoto takes a bundle. The checksum that the client sent, if any, must be right.
func (t *Target) postPhoto(w http.ResponseWriter, r *http.Request) {
	t.gate.wait()
	q := t.newRequest(r, "")
	x, why := t.begin(r.Context(), q)
	if why != nil {
		t.writeRefusal(w, why)
		return
	}
	reason := t.work(r.Context(), x)
	if reason != "" {
		t.finish(x, reason)
		t.writeAborted(w, reason)
		return
	}
	t.guardTransfer(w, x)
	h := bundle.NewHash()
	n, err := io.CopyBuffer(allowedWriter{t, x, h}, r.Body, make([]byte, chunkBytes))
	if err != nil {
		t.finish(x, t.stillAllowed(x, abortedCancel))
		panic(http.ErrAbortHandler)
	}
	t.finish(x, "")
	sum := bundle.Checksum(h)
	w.Header().Set(HeaderTarget, t.id())
	w.Header().Set(bundle.ChecksumHeader, sum)
	if want := r.Header.Get(bundle.ChecksumHeader); want != "" && want != sum {
		http.Error(w, "the body has another checksum", http.StatusUnprocessableEntity)
		return
	}
	writeJSON(w, http.StatusOK, PhotoAnswer{Target: t.id(), RequestID: q.id, Bytes: n, Checksum: sum})
}

// getPhoto sends a bundle of the requested size, whose content follows from its name.
func (t *Target) getPhoto(w http.ResponseWriter, r *http.Request) {
	t.gate.wait()
	q := t.newRequest(r, "")
	size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil || size < 0 {
		w.Header().Set(headerNotRun, "1")
		http.Error(w, "bytes is missing", http.StatusBadRequest)
		return
	}
	x, why := t.begin(r.Context(), q)
	if why != nil {
		t.writeRefusal(w, why)
		return
	}
	reason := t.work(r.Context(), x)
	if reason != "" {
		t.finish(x, reason)
		t.writeAborted(w, reason)
		return
	}
	t.guardTransfer(w, x)
	t.sendPhoto(w, x, r.PathValue("name"), size)
}

func (t *Target) sendPhoto(w http.ResponseWriter, x *execution, name string, size int64) {
	h := w.Header()
	h.Set(HeaderTarget, t.id())
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.FormatInt(size, 10))
	h.Set(bundle.ChecksumHeader, bundle.ChecksumOf(name, size))
	w.WriteHeader(http.StatusOK)
	// Everything but the last byte is sent before the slot is free, the last byte afterwards.
	content := bundle.NewReader(name, size)
	body := io.LimitReader(content, max(0, size-1))
	if _, err := io.CopyBuffer(allowedWriter{t, x, w}, body, make([]byte, chunkBytes)); err != nil {
		t.finish(x, t.stillAllowed(x, abortedCancel))
		panic(http.ErrAbortHandler)
	}
	t.finish(x, "")
	// A write error means that the client is gone.
	_, _ = io.Copy(w, content)
}

var errAborted = errors.New("the execution was aborted")

// allowedWriter checks deadline and grant before each write. It also hides ReadFrom, so that io.CopyBuffer uses its buffer.
type allowedWriter struct {
	target    *Target
	execution *execution
	to        io.Writer
}

// Write implements io.Writer.
func (a allowedWriter) Write(p []byte) (int, error) {
	a.target.gate.wait()
	if a.target.stillAllowed(a.execution, "") != "" {
		return 0, errAborted
	}
	return a.to.Write(p)
}

func (t *Target) id() string {
	return t.Settings().ID
}
