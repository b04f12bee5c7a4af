package constants

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"iter"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// checkedPackages are the packages whose constants set the limits, intervals and weights of
// scheduling decisions.
var checkedPackages = []string{"fleet", "placement", "routing", "membership"}

// TestNumericConstantsAreDocumented guards against numeric constants of unexplained meaning:
// each needs a comment of its own, or must be named in the comment of a constant before it in
// the same group. Groups of configuration defaults ("Defaults of ...") are exempt, because the
// fields of the configuration document them.
func TestNumericConstantsAreDocumented(t *testing.T) {
	count := 0
	for c := range constantsOf(t) {
		if !isNumeric(c.value) {
			continue
		}
		count++
		if c.comment == "" && !strings.HasPrefix(c.group, "Defaults of ") {
			t.Errorf("%s: constant %s has no comment that states its meaning", c.position, c.name)
		}
	}
	if count == 0 {
		t.Fatal("found no numeric constant in the checked packages")
	}
}

// constant is a named constant with its documentation.
type constant struct {
	position token.Position
	name     string
	value    *ast.ValueSpec
	// comment is the text that documents the constant, group that of its declaration group.
	comment, group string
}

// constantsOf yields the constants of checkedPackages, those in test files excepted.
func constantsOf(t *testing.T) iter.Seq[constant] {
	return func(yield func(constant) bool) {
		for _, root := range checkedPackages {
			err := filepath.WalkDir(filepath.Join("..", "..", root), func(path string, _ fs.DirEntry, err error) error {
				if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
					return err
				}
				for _, c := range constantsIn(t, path) {
					if !yield(c) {
						return fs.SkipAll
					}
				}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

// constantsIn returns the constants that are declared at the top level of a file.
func constantsIn(t *testing.T, path string) []constant {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	var found []constant
	for _, declaration := range file.Decls {
		group, isGroup := declaration.(*ast.GenDecl)
		if !isGroup || group.Tok != token.CONST {
			continue
		}
		comment := group.Doc.Text()
		for _, spec := range group.Specs {
			value := spec.(*ast.ValueSpec)
			if own := value.Doc.Text() + value.Comment.Text(); own != "" {
				comment = own
			} else if group.Lparen.IsValid() && !mentions(comment, value.Names[0].Name) {
				comment = ""
			}
			found = append(found, constant{
				position: files.Position(value.Pos()), name: value.Names[0].Name, value: value,
				comment: comment, group: group.Doc.Text(),
			})
		}
	}
	return found
}

// mentions reports whether a comment contains a constant's name as a whole word.
func mentions(comment, name string) bool {
	return regexp.MustCompile(`\b` + regexp.QuoteMeta(name) + `\b`).MatchString(comment)
}

// isNumeric reports whether a constant is untyped and its value contains a numeric literal.
// Enumerations with iota don't count.
func isNumeric(value *ast.ValueSpec) bool {
	if len(value.Values) == 0 || value.Type != nil {
		return false
	}
	number := false
	ast.Inspect(value.Values[0], func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.Ident:
			if n.Name == "iota" {
				number = false
				return false
			}
		case *ast.BasicLit:
			number = number || n.Kind == token.INT || n.Kind == token.FLOAT
		}
		return true
	})
	return number
}
