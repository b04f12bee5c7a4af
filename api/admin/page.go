package admin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"

	"github.com/valveslip/valveslip/verdict"
)

// The default and the maximum of the "limit" parameter, in items.
const (
	defaultPageLength = 200
	maxPageLength     = 2000
)

// limitParameter returns the requested page length.
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

// paginate sorts items by key and returns a page of those after the key in the
// parameter "after". It also returns the key for the next page's "after"
// parameter, empty on the last page. Pages start after a key and not at an
// offset, so that items which are added or removed between two requests never
// make another item appear twice or be skipped.
func paginate[T any](r *http.Request, items []T, key func(T) string) ([]T, string, *verdict.Error) {
	limit, verdictErr := limitParameter(r)
	if verdictErr != nil {
		return nil, "", verdictErr
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
