package admin

import (
	"testing"

	"github.com/valveslip/valveslip/internal/propertytest"
)

// TestMain runs the property tests with a fixed seed.
func TestMain(m *testing.M) { propertytest.Main(m) }
