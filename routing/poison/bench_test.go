package poison

import (
	"fmt"
	"testing"
)

// BenchmarkFingerprint measures the fingerprint of a request by the size of its body.
func BenchmarkFingerprint(b *testing.B) {
	for _, bytes := range []int{0, 1 << 10, 4 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("%d bytes", bytes), func(b *testing.B) {
			content := Content{Method: "POST", Host: "service.example", Target: "/chat/7f", Body: make([]byte, bytes)}
			b.ReportAllocs()
			for b.Loop() {
				_ = content.Fingerprint()
			}
		})
	}
}
