// Package compatibility holds tests only: they show that this program reads what earlier versions
// of it stored, and writes it under the same names. The stored files are in testdata, with a page
// that says which version wrote them and how.
//
// A stored name is a struct tag beside the field that holds its value. Renaming the field in the
// code changes nothing; changing the tag loses what is stored on every machine at its next upgrade,
// and fails here.
package compatibility
