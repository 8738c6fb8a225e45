// Package compatibility contains only tests. They check that this program reads the files that
// earlier versions of it stored, and writes them with the same names. The stored files are in
// testdata; the README there says which version wrote them and how.
//
// Each stored name is the struct tag of the field that holds its value. Renaming the field in the
// code does no harm. Changing the tag would lose the stored data on every machine at its next
// upgrade, and makes these tests fail.
package compatibility
