package admin

import (
	"embed"
	"io/fs"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// PagePath is where the status page lives.
const PagePath = "/admin/"

// pageFiles are the files of the status page.
//
//go:embed page
var pageFiles embed.FS

// pagePolicy lets the page load its own files and call its own node, no more.
const pagePolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; img-src data:; base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// servePage registers the status page. It holds no data: the page asks the
// operator for a token and reads the API with it.
func servePage(router chi.Router) {
	files, err := fs.Sub(pageFiles, "page")
	if err != nil {
		panic("admin: " + err.Error())
	}
	server := http.StripPrefix(PagePath, http.FileServerFS(files))
	for _, name := range []string{"", "style.css", "script.js"} {
		router.Get(PagePath+name, func(w http.ResponseWriter, r *http.Request) {
			header := w.Header()
			header.Set("Content-Security-Policy", pagePolicy)
			header.Set("X-Content-Type-Options", "nosniff")
			header.Set("Referrer-Policy", "no-referrer")
			header.Set("Cache-Control", "no-cache")
			server.ServeHTTP(w, r)
		})
	}
	router.Get("/admin", func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, PagePath, http.StatusPermanentRedirect)
	})
}
