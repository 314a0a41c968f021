package platform

import (
	"bytes"
	"encoding/json"
	"hash/crc32"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
)

const (
	targetHeader  = "X-Amz-Target"
	apiPrefix     = "DynamoDB_20120810."
	errorPrefix   = "com.amazonaws.dynamodb.v20120810#"
	tableJSONType = "application/x-amz-json-1.0"
)

// keyAttribute is the partition key of every table. A real table declares it when it is created.
const keyAttribute = "key"

// value is an attribute value in its wire form, for example {"S": "text"}.
type value map[string]json.RawMessage

func (v value) equal(o value) bool {
	if len(v) != len(o) {
		return false
	}
	for k, raw := range v {
		if !bytes.Equal(raw, o[k]) {
			return false
		}
	}
	return true
}

type item map[string]value

// table holds the items of all tables by table name and key.
type table struct {
	mu    sync.Mutex
	items map[string]item
}

func newTable() *table {
	return &table{items: map[string]item{}}
}

func (t *table) get(name string) (item, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	it, ok := t.items[name]
	return it, ok
}

// put writes the item if the condition holds for the present one.
func (t *table) put(name string, it item, holds func(item) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !holds(t.items[name]) {
		return false
	}
	t.items[name] = it
	return true
}

// Keys returns the table keys that exist, as table/key, sorted.
func (p *Platform) Keys() []string {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	keys := make([]string, 0, len(p.table.items))
	for k := range p.table.items {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

type getItemInput struct {
	TableName      string
	Key            item
	ConsistentRead bool
}

type getItemOutput struct {
	Item item `json:",omitempty"`
}

type putItemInput struct {
	TableName                 string
	Item                      item
	ConditionExpression       string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues map[string]value
}

type tableError struct {
	Type    string `json:"__type"`
	Message string `json:"message"`
}

func (f *Front) serveTable(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeTableError(w, http.StatusBadRequest, "SerializationException", err.Error())
		return
	}
	if !f.admit(w, r, tableInternalError) {
		return
	}
	operation, ok := strings.CutPrefix(r.Header.Get(targetHeader), apiPrefix)
	if !ok || r.Header.Get("Content-Type") != tableJSONType {
		writeTableError(w, http.StatusBadRequest, "UnknownOperationException", "unknown operation or content type")
		return
	}
	if !strings.HasPrefix(r.Header.Get("Authorization"), "AWS4-HMAC-SHA256 ") {
		writeTableError(w, http.StatusBadRequest, "MissingAuthenticationTokenException", "the request is not signed")
		return
	}
	switch operation {
	case "GetItem":
		f.getItem(w, body)
	case "PutItem":
		f.putItem(w, r, body)
	default:
		writeTableError(w, http.StatusBadRequest, "UnknownOperationException", operation)
	}
}

func (f *Front) getItem(w http.ResponseWriter, body []byte) {
	var in getItemInput
	if err := json.Unmarshal(body, &in); err != nil {
		writeTableError(w, http.StatusBadRequest, "SerializationException", err.Error())
		return
	}
	name, ok := itemName(in.TableName, in.Key)
	if !ok {
		writeTableError(w, http.StatusBadRequest, "ValidationException", "the key attribute is missing")
		return
	}
	if !f.platform.reads.Allow() {
		f.platform.count(func(c *Counts) { c.ThrottledReads++ })
		writeThrottled(w)
		return
	}
	f.platform.count(func(c *Counts) { c.Reads++ })
	it, _ := f.platform.table.get(name)
	writeTableAnswer(w, http.StatusOK, getItemOutput{Item: it})
}

func (f *Front) putItem(w http.ResponseWriter, r *http.Request, body []byte) {
	var in putItemInput
	if err := json.Unmarshal(body, &in); err != nil {
		writeTableError(w, http.StatusBadRequest, "SerializationException", err.Error())
		return
	}
	name, ok := itemName(in.TableName, in.Item)
	if !ok {
		writeTableError(w, http.StatusBadRequest, "ValidationException", "the key attribute is missing")
		return
	}
	condition, err := parseCondition(in.ConditionExpression, in.ExpressionAttributeNames, in.ExpressionAttributeValues)
	if err != nil {
		writeTableError(w, http.StatusBadRequest, "ValidationException", "Invalid ConditionExpression: "+err.Error())
		return
	}
	if !f.platform.writes.Allow() {
		f.platform.count(func(c *Counts) { c.ThrottledWrites++ })
		writeThrottled(w)
		return
	}
	// A write whose condition fails uses write capacity, too.
	f.platform.count(func(c *Counts) { c.Writes++ })
	apply := func() bool {
		applied := f.platform.table.put(name, in.Item, condition)
		if !applied {
			f.platform.count(func(c *Counts) { c.WriteConflicts++ })
		}
		return applied
	}
	f.executeWrite(r, apply, func(applied bool) {
		if !applied {
			writeTableError(w, http.StatusBadRequest, "ConditionalCheckFailedException", "The conditional request failed")
			return
		}
		writeTableAnswer(w, http.StatusOK, struct{}{})
	})
}

func itemName(table string, it item) (string, bool) {
	raw, ok := it[keyAttribute]["S"]
	if !ok || table == "" {
		return "", false
	}
	var key string
	if err := json.Unmarshal(raw, &key); err != nil || key == "" {
		return "", false
	}
	return table + "/" + key, true
}

func tableInternalError(w http.ResponseWriter) {
	writeTableError(w, http.StatusInternalServerError, "InternalServerError", "internal error")
}

func writeThrottled(w http.ResponseWriter) {
	writeTableError(w, http.StatusBadRequest, "ProvisionedThroughputExceededException",
		"The level of configured provisioned throughput for the table was exceeded.")
}

func writeTableError(w http.ResponseWriter, status int, code, message string) {
	writeTableAnswer(w, status, tableError{Type: errorPrefix + code, Message: message})
}

func writeTableAnswer(w http.ResponseWriter, status int, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", tableJSONType)
	// The SDK verifies this checksum.
	h.Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 10))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
