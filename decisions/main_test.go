package decisions

import (
	"testing"

	"github.com/valveslip/valveslip/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m) }
