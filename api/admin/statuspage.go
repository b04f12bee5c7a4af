package admin

import (
	"embed"
	"io/fs"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// PagePath is the path of the status page.
const PagePath = "/admin/"

// statusPageFiles holds the files of the status page.
//
//go:embed page
var statusPageFiles embed.FS

// statusPagePolicy is the Content-Security-Policy of the status page. It allows the
// page only to load its own files and to call its own node.
const statusPagePolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; img-src data:; base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// registerStatusPage registers the routes of the status page. They need no token,
// because the files contain no data: the page asks the operator for a token and
// calls the API with it.
func registerStatusPage(router chi.Router) {
	files, err := fs.Sub(statusPageFiles, "page")
	if err != nil {
		panic("admin: " + err.Error())
	}
	fileServer := http.StripPrefix(PagePath, http.FileServerFS(files))
	for _, name := range []string{"", "style.css", "script.js"} {
		router.Get(PagePath+name, func(w http.ResponseWriter, r *http.Request) {
			header := w.Header()
			header.Set("Content-Security-Policy", statusPagePolicy)
			header.Set("X-Content-Type-Options", "nosniff")
			header.Set("Referrer-Policy", "no-referrer")
			header.Set("Cache-Control", "no-cache")
			fileServer.ServeHTTP(w, r)
		})
	}
	router.Get("/admin", func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, PagePath, http.StatusPermanentRedirect)
	})
}
