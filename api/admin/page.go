package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"

	"github.com/valveslip/valveslip/verdict"
)

// The bounds of the "limit" parameter.
const (
	defaultPageLength = 200
	maxPageLength     = 2000
)

// limitParameter returns the asked page length.
func limitParameter(r *http.Request) (int, *verdict.Error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultPageLength, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > maxPageLength {
		return 0, badRequest("limit wants a number from 1 to %d, got %q", maxPageLength, text)
	}
	return limit, nil
}

// page sorts items by key and returns those after the key in the parameter
// "after", with the key to go on from, empty on the last page. Since a page
// begins after a key and not at a count, items that come or go meanwhile never
// make another one appear twice or not at all.
func page[T any](r *http.Request, items []T, key func(T) string) ([]T, string, *verdict.Error) {
	limit, failed := limitParameter(r)
	if failed != nil {
		return nil, "", failed
	}
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	after := r.URL.Query().Get("after")
	if after != "" {
		start, found := slices.BinarySearchFunc(items, after, func(item T, after string) int {
			return cmp.Compare(key(item), after)
		})
		if found {
			start++
		}
		items = items[start:]
	}
	if len(items) <= limit {
		return items, "", nil
	}
	return items[:limit], key(items[limit-1]), nil
}
