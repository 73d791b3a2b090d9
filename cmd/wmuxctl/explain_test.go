package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/wisteriamux/wisteriamux/internal/router"
)

// TestExplainErrors guards against errors of explain that cannot be told apart by their exit code.
func TestExplainErrors(t *testing.T) {
	answer := func(e router.Explanation) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(e) }))
		t.Cleanup(server.Close)
		return server.URL
	}
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	for name, c := range map[string]struct {
		vm, domain string
		exitCode   int
	}{
		"explained":         {answer(router.Explanation{FailureDomain: "a"}), "a", 0},
		"no route":          {answer(router.Explanation{Problem: router.NoRoute}), "", 7},
		"no configuration":  {answer(router.Explanation{Problem: router.NoConfiguration}), "", 8},
		"unknown team":      {answer(router.Explanation{Problem: router.UnknownTeam}), "", 9},
		"out of reach":      {gone.URL, "", 10},
		"no VM in domain":   {answer(router.Explanation{FailureDomain: "a"}), "b", 10},
		"not a VM's answer": {answer(router.Explanation{Problem: "other"}), "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			root := command(&options{out: &out})
			root.SetArgs([]string{"explain", "--host", "h", "--path", "/", "--vm", c.vm, "--failure-domain", c.domain})
			err := root.ExecuteContext(t.Context())
			code := 0
			if err != nil {
				code = exitCodeOf(err)
			}
			if code != c.exitCode {
				t.Errorf("exit code %d, want %d (error: %v)", code, c.exitCode, err)
			}
			if (out.Len() > 0) != (c.exitCode == 0) {
				t.Errorf("output %q with exit code %d", out.String(), code)
			}
		})
	}
}
