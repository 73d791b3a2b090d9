package bodydrain_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wisteriamux/wisteriamux/internal/bodydrain"
)

func TestBodydrain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Bodydrain")
}

var _ = Describe("an error response before the body is read", func() {
	// Without draining the body, three of four such callers got a connection reset instead of the response.
	It("reaches callers that close their connection after each request", func() {
		const message = "too long"
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "8")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			_, _ = io.WriteString(w, message)
			bodydrain.FlushAndDrain(w, r)
		}))
		DeferCleanup(server.Close)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		body := strings.Repeat("x", 4<<20)
		for range 40 {
			response, err := client.Post(server.URL, "text/plain", strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
			Expect(string(text)).To(Equal(message))
		}
	})
})
