package ingress

import (
	"fmt"
	"io"
	"net/http"

	"github.com/bronzelever/bronzelever/pkg/hopbyhop"
)

// copyHeaders copies the end-to-end header fields of src to dst.
func copyHeaders(dst, src http.Header) {
	options := hopbyhop.ConnectionOptions(src["Connection"])
	for name, values := range src {
		if !hopbyhop.IsField(name) && !options[name] {
			dst[name] = values
		}
	}
}

// streamBody copies src to the caller and flushes after each read. If src fails, the error is errTruncated with its cause.
func streamBody(w http.ResponseWriter, src io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
			// Flush fails only if the caller has disconnected, which the next Write reports.
			_ = control.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
	}
}
