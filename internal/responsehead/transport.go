package responsehead

import "net/http"

// Transport returns responses that pass Check. Any other one is closed, and its error returned.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections lets http.Client close the idle connections of the next transport.
func (t Transport) CloseIdleConnections() {
	if next, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}
