package routing

// releaseOf returns the release of a machine's software.
func (r *Router) releaseOf(m *machine) string {
	if r.config.ReleaseOf == nil {
		return ""
	}
	return r.config.ReleaseOf(m.id)
}
