package constants

import (
	"go/ast"
	"go/token"
	"regexp"
	"testing"
)

// reasonPattern matches a comment that gives a reason for a constant's value and not only
// its meaning: a consequence, a comparison, a figure, or a statement that the value was
// chosen without one.
var reasonPattern = regexp.MustCompile(`(?i)[:;]\s|\b(so that|so long|so many|because|since|lest|enough|than|chosen)\b|\d`)

// TestDurationAndWeightConstantsGiveReason guards against durations and weights whose value
// nobody can judge later: the comment of each such constant, or that of its group if it has
// none of its own, must give a reason for the value.
func TestDurationAndWeightConstantsGiveReason(t *testing.T) {
	count := 0
	for c := range constantsOf(t) {
		if !isDurationOrWeight(c.value) {
			continue
		}
		count++
		comment := c.comment
		if comment == "" {
			comment = c.group
		}
		if !reasonPattern.MatchString(comment) {
			t.Errorf("%s: the comment of constant %s gives no reason for its value: %q", c.position, c.name, comment)
		}
	}
	if count == 0 {
		t.Fatal("found no duration or weight constant in the checked packages")
	}
}

// TestReasonPatternRejectsCommentsWithoutReason guards against a pattern that accepts every
// comment: one that states only the meaning of a constant gives no reason for its value.
func TestReasonPatternRejectsCommentsWithoutReason(t *testing.T) {
	for comment, want := range map[string]bool{
		"planSpacing is the least time between two plans.":               false,
		"planSpacing is the least time between two plans: one takes 3.":  true,
		"planSpacing is the least time between two plans; few are late.": true,
		"planSpacing is longer than a plan takes.":                       true,
		"planSpacing, chosen, not measured.":                             true,
		"":                                                               false,
	} {
		if got := reasonPattern.MatchString(comment); got != want {
			t.Errorf("%q: %t, want %t", comment, got, want)
		}
	}
}

// isDurationOrWeight reports whether a constant's type is a duration or a float, or its value
// uses a unit of time or a floating-point literal.
func isDurationOrWeight(value *ast.ValueSpec) bool {
	found := false
	inspect := func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.SelectorExpr:
			found = found || isFromPackageTime(n)
		case *ast.Ident:
			found = found || n.Name == "float64" || n.Name == "float32"
		case *ast.BasicLit:
			found = found || n.Kind == token.FLOAT
		}
		return true
	}
	if value.Type != nil {
		ast.Inspect(value.Type, inspect)
	}
	for _, expression := range value.Values {
		ast.Inspect(expression, inspect)
	}
	return found
}

// isFromPackageTime reports whether a qualified identifier is of package time, such as a unit
// or the type Duration.
func isFromPackageTime(selector *ast.SelectorExpr) bool {
	qualifier, isName := selector.X.(*ast.Ident)
	return isName && qualifier.Name == "time"
}
