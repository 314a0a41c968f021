// Package fingerprint identifies equal requests.
package fingerprint

// New returns the filter.
func New() *Filter {
	return &Filter{}
}
