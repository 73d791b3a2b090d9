package main

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/wisteriamux/wisteriamux/internal/router"
)

// TestExplainHandler guards against a VM without a configuration that looks like one that cannot be reached.
func TestExplainHandler(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	r := router.New(router.Config{ID: "vm", FailureDomain: "a"}, nil, nil, log)
	recorder := httptest.NewRecorder()
	explainHandler(r, log)(recorder, httptest.NewRequest(http.MethodGet, "/explain?host=x&path=/&method=POST", http.NoBody))
	var e router.Explanation
	if err := json.Unmarshal(recorder.Body.Bytes(), &e); err != nil {
		t.Fatal(err)
	}
	if recorder.Code != http.StatusOK || e.Problem != router.NoConfiguration || e.VM != "vm" || e.FailureDomain != "a" || e.Method != http.MethodPost {
		t.Errorf("status %d, explanation %+v", recorder.Code, e)
	}
}
