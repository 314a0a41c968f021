package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func startFront(t *testing.T, p *Platform) (*Front, *httptest.Server) {
	t.Helper()
	front := p.NewFront()
	server := httptest.NewServer(front)
	t.Cleanup(server.Close)
	return front, server
}

func call(url, operation, body string) (int, string, error) {
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Header.Set("X-Amz-Target", apiPrefix+operation)
	request.Header.Set("Content-Type", tableJSONType)
	request.Header.Set("Authorization", "AWS4-HMAC-SHA256 Credential=test")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	var answer struct {
		Type string `json:"__type"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, strings.TrimPrefix(answer.Type, errorPrefix), err
}

func put(url string, expected, revision int) (int, string, error) {
	condition := fmt.Sprintf(`"ConditionExpression":"revision = :e","ExpressionAttributeValues":{":e":{"N":"%d"}}`, expected)
	if expected == 0 {
		condition = `"ConditionExpression":"attribute_not_exists(#k)","ExpressionAttributeNames":{"#k":"key"}`
	}
	return call(url, "PutItem", fmt.Sprintf(`{"TableName":"t","Item":{"key":{"S":"a"},"revision":{"N":"%d"}},%s}`, revision, condition))
}

// Guards against a stand-in that accepts a write whose condition doesn't hold.
func TestConditionalPut(t *testing.T) {
	_, server := startFront(t, New(Settings{}))
	steps := []struct {
		expected, revision, status int
		code                       string
	}{
		{1, 2, 400, "ConditionalCheckFailedException"},
		{0, 1, 200, ""},
		{0, 1, 400, "ConditionalCheckFailedException"},
		{1, 2, 200, ""},
		{1, 2, 400, "ConditionalCheckFailedException"},
	}
	for i, s := range steps {
		status, code, err := put(server.URL, s.expected, s.revision)
		if err != nil || status != s.status || code != s.code {
			t.Errorf("step %d: %d %q %v; want %d %q", i, status, code, err, s.status, s.code)
		}
	}
}

// Guards against a condition language that reads operators in the wrong order.
func TestConditionPrecedence(t *testing.T) {
	values := map[string]value{":one": {"N": json.RawMessage(`"1"`)}, ":two": {"N": json.RawMessage(`"2"`)}}
	it := item{"a": values[":one"], "b": values[":two"]}
	cases := map[string]bool{
		"a = :one":                                 true,
		"a <> :one":                                false,
		"missing = :one":                           false,
		"a = :one OR a = :two AND b = :one":        true,
		"(a = :one OR a = :two) AND b = :one":      false,
		"NOT a = :two AND attribute_exists(b)":     true,
		"attribute_not_exists(a) OR b = :two":      true,
		"attribute_not_exists(a) AND NOT b = :two": false,
	}
	for expression, want := range cases {
		holds, err := parseCondition(expression, nil, values)
		if err != nil || holds(it) != want {
			t.Errorf("%q: want %v, error %v", expression, want, err)
		}
	}
	for _, expression := range []string{"a =", "a = :none", "a ! b", "(a = :one", "a = :one )"} {
		if _, err := parseCondition(expression, nil, values); err == nil {
			t.Errorf("%q was accepted", expression)
		}
	}
}

// Guards against limits that don't hold, or that refuse with an error which no client takes for throttling.
func TestThrottling(t *testing.T) {
	p := New(Settings{WritesPerSecond: 5, ReadsPerSecond: 5})
	_, server := startFront(t, p)
	throttled := 0
	for i := range 20 {
		status, code, err := put(server.URL, i, i+1)
		if err != nil {
			t.Fatal(err)
		}
		if status == 400 && code == "ProvisionedThroughputExceededException" {
			throttled++
		}
	}
	if c := p.Counts(); throttled < 10 || c.ThrottledWrites != throttled || c.Writes+throttled != 20 {
		t.Errorf("%d throttled answers, counts %+v", throttled, c)
	}
}

// Guards against faults that change the effect of a write: a lost reply must leave the write in force, a late write must
// apply only if its condition still holds, and an outage must have no effect and stay on its own front.
func TestWriteFaults(t *testing.T) {
	p := New(Settings{})
	front, server := startFront(t, p)
	_, other := startFront(t, p)

	front.SetFaults(Faults{LoseReplies: 1})
	if _, _, err := put(server.URL, 0, 1); err == nil {
		t.Error("a lost reply arrived")
	}
	front.SetFaults(Faults{Down: true})
	if _, _, err := put(server.URL, 1, 2); err == nil {
		t.Error("a front that is down answered")
	}
	if status, _, err := put(other.URL, 1, 2); err != nil || status != 200 {
		t.Errorf("the other front answered %d, %v; the first write must be in force and the second must not", status, err)
	}
	front.SetFaults(Faults{ApplyLateCount: 2, ApplyLateMillis: 1})
	client := http.Client{Timeout: 50 * time.Millisecond}
	for _, expected := range []int{1, 2} {
		body := fmt.Sprintf(`{"TableName":"t","Item":{"key":{"S":"a"},"revision":{"N":"%d"}},"ConditionExpression":"revision = :e",`+
			`"ExpressionAttributeValues":{":e":{"N":"%d"}}}`, expected+1, expected)
		request, _ := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(body))
		request.Header.Set("X-Amz-Target", apiPrefix+"PutItem")
		request.Header.Set("Content-Type", tableJSONType)
		request.Header.Set("Authorization", "AWS4-HMAC-SHA256 Credential=test")
		if _, err := client.Do(request); err == nil {
			t.Error("a late write was answered")
		}
	}
	it, _ := p.table.get("t/a")
	if got := string(it["revision"]["N"]); got != `"3"` {
		t.Errorf("revision %s; the late write from 1 must fail and the one from 2 must apply", got)
	}
}

// Guards against a list that shows a change before its lag has passed.
func TestVMListLag(t *testing.T) {
	l := &vmList{lag: time.Second}
	start := time.Now()
	l.set([]VM{{VM: "a"}}, start)
	if got := l.get(start.Add(900 * time.Millisecond)); len(got) != 0 {
		t.Errorf("visible too early: %v", got)
	}
	if got := l.get(start.Add(time.Second)); len(got) != 1 {
		t.Errorf("not visible after the lag: %v", got)
	}
}
