package server

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/schema/schemaconnect"
)

func startTestServer(t *testing.T, b Backend, panicked func(any)) *Server {
	s, err := Listen(b, Options{
		Callers: "127.0.0.1:0", Status: "127.0.0.1:0", MaxBody: 4096, MaxPayload: 1024,
		OnResult: func(coder.Code) {}, OnPanic: panicked,
		Health: Health{Ready: func() string { return "reading the log" }, Status: func() any { return 1 }, Metrics: http.NotFoundHandler()},
	})
	must.NoError(t, err)
	return s
}

func TestErrorCodesOverJSON(t *testing.T) {
	s := startTestServer(t, Backend{
		Check: func(_ context.Context, r *schema.CheckRequest) *schema.Answer {
			return &schema.Answer{RequestId: r.GetRequestId()}
		},
		Apply: func(context.Context, *schema.ApplyRequest) (*schema.ApplyResponse, error) {
			return nil, coder.New(coder.LogDown, "down")
		},
		Audit: func(context.Context, *schema.AuditRequest) (*schema.AuditResponse, error) { panic("broken") },
	}, func(any) {})
	defer s.Close()
	tests := map[string]struct {
		path, body string
		want       coder.Code
	}{
		"valid":          {path: "Callers/Check", body: `{"request-id":"1","team":"a","service":"s","timeout-millis":"5"}`, want: coder.OK},
		"not JSON":       {path: "Callers/Check", body: `{"request-id"`, want: coder.Malformed},
		"unknown field":  {path: "Callers/Check", body: `{"request-id":"1","team":"a","service":"s","retries":3}`, want: coder.Malformed},
		"missing":        {path: "Callers/Check", body: `{"team":"a","service":"s"}`, want: coder.Missing},
		"negative":       {path: "Callers/Check", body: `{"request-id":"1","team":"a","service":"s","timeout-millis":"-5"}`, want: coder.OutOfRange},
		"overflowing":    {path: "Callers/Check", body: `{"request-id":"1","team":"a","service":"s","timeout-millis":"99999999999999999999"}`, want: coder.Malformed},
		"large payload":  {path: "Callers/Check", body: `{"request-id":"1","team":"a","service":"s","payload":"` + strings.Repeat("AAAA", 400) + `"}`, want: coder.TooLarge},
		"large body":     {path: "Callers/Check", body: `{"request-id":"` + strings.Repeat("1", 8192) + `"}`, want: coder.TooLarge},
		"long name":      {path: "Callers/Submit", body: `{"key":"` + strings.Repeat("1", 200) + `","team":"a","job":"b"}`, want: coder.TooLarge},
		"no items":       {path: "Operators/Apply", body: `{"operator":"ana"}`, want: coder.OutOfRange},
		"backend error":  {path: "Operators/Apply", body: `{"operator":"ana","items":[{}]}`, want: coder.LogDown},
		"unknown kind":   {path: "Operators/Drain", body: `{"operator":"ana","name":"a","kind":"rack"}`, want: coder.BadFormat},
		"panic":          {path: "Operators/Audit", body: `{}`, want: coder.Internal},
		"negative limit": {path: "Operators/Audit", body: `{"limit":-1}`, want: coder.OutOfRange},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			resp, err := http.Post("http://"+s.CallersAddress()+"/galenawharf.v1."+tc.path, "application/json", strings.NewReader(tc.body))
			must.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			must.NoError(t, err)
			must.NoError(t, resp.Body.Close())
			must.Eq(t, tc.want == coder.OK, resp.StatusCode == http.StatusOK, must.Sprint(string(body)))
			if tc.want != coder.OK {
				must.Eq(t, tc.want, responseCode(resp, body), must.Sprint(string(body)))
			}
		})
	}
}

// responseCode returns the result code of an error response, read without a Connect
// client as a script would.
func responseCode(resp *http.Response, body []byte) coder.Code {
	var e struct {
		Code string `json:"code"`
	}
	_ = json.Unmarshal(body, &e)
	for c := range connect.CodeUnauthenticated + 1 {
		if c.String() == e.Code {
			ce := connect.NewError(c, io.EOF)
			ce.Meta().Set(CodeHeader, resp.Header.Get(CodeHeader))
			return CodeOf(ce)
		}
	}
	return -1
}

func TestReady(t *testing.T) {
	s := startTestServer(t, Backend{}, nil)
	defer s.Close()
	resp, err := http.Get("http://" + s.StatusAddress() + "/ready")
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusServiceUnavailable, resp.StatusCode)
	must.StrContains(t, string(body), "reading the log")
}

// TestShutdownWaitsForRequestsInFlight checks that Shutdown waits for a request that
// began before it, and that the caller gets the whole answer.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	begun, end := make(chan struct{}), make(chan struct{})
	s := startTestServer(t, Backend{Check: func(context.Context, *schema.CheckRequest) *schema.Answer {
		close(begun)
		<-end
		return &schema.Answer{Payload: bytes.Repeat([]byte("x"), 1000)}
	}}, nil)
	client := &http.Client{Transport: &http.Transport{}}
	answered := make(chan *schema.Answer, 1)
	go func() {
		r, err := schemaconnect.NewCallersClient(client, "http://"+s.CallersAddress()).Check(context.Background(),
			connect.NewRequest(&schema.CheckRequest{RequestId: "1", Team: "a", Service: "s"}))
		if err != nil {
			answered <- nil
			return
		}
		answered <- r.Msg
	}()
	<-begun
	down := make(chan error, 1)
	go func() { down <- s.Shutdown(clock.Minute) }()
	close(end)
	a := <-answered
	must.NotNil(t, a)
	must.Len(t, 1000, a.GetPayload())
	must.NoError(t, <-down)
	client.CloseIdleConnections()
}
