package main

import (
	"log/slog"
	"net/http"

	"github.com/wisteriamux/wisteriamux/internal/router"
	"github.com/wisteriamux/wisteriamux/platform"
)

// explainHandler explains the decisions on the request that the query describes. A problem is told in the body, with status 200: it is
// an answer of this VM, unlike a path that an older VM does not know.
func explainHandler(r *router.Router, log *slog.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		query := request.URL.Query()
		explanation := r.Explain(router.ExplainRequest{
			Host: query.Get("host"), Path: query.Get("path"), Method: query.Get("method"), Team: query.Get("team"),
		})
		for n := range explanation.Refusals {
			explanation.Refusals[n].Status = platform.StatusOf(explanation.Refusals[n].Code)
		}
		writeList(w, explanation, log)
	}
}
