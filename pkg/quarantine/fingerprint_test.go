package quarantine

import "testing"

// Guards against different requests with the same fingerprint, and against a quarantine that affects a request of another caller.
func TestFingerprintsAreDistinct(t *testing.T) {
	base := Request{Method: "POST", Host: "h", URI: "/a?b=1", Key: 7, Body: []byte("body"), BodyBytes: 4, Caller: "c"}
	seen := map[uint64]string{base.Fingerprint().Content: "base"}
	for name, change := range map[string]func(*Request){
		"method": func(r *Request) { r.Method = "PUT" },
		"host":   func(r *Request) { r.Host, r.URI = "h/a", "?b=1" },
		"path":   func(r *Request) { r.URI = "/a?b=2" },
		"key":    func(r *Request) { r.Key = 8 },
		"body":   func(r *Request) { r.Body = []byte("bodz") },
		"length": func(r *Request) { r.BodyBytes = 5 },
	} {
		r := base
		change(&r)
		if other, ok := seen[r.Fingerprint().Content]; ok {
			t.Errorf("a request with a different %s has the fingerprint of %s", name, other)
		}
		seen[r.Fingerprint().Content] = name
	}
	other := base
	other.Caller = "d"
	if other.Fingerprint().Content != base.Fingerprint().Content || other.Fingerprint().ByCaller == base.Fingerprint().ByCaller {
		t.Error("the caller must only affect ByCaller")
	}
}
