package wire

import (
	"errors"

	"rowancart/balancer"
)

// maxLists is how many endpoint lists a batch may refer to: list numbers run from 0 to 15.
const maxLists = 16

// listReader collects endpoint lists. A list keeps its number until another takes it, over batches,
// too, and any instance may be sent it.
type listReader struct {
	byNumber [maxLists]*[]balancer.Endpoint // nil: that number was never used
	current  *[]balancer.Endpoint           // the list that is being read
	missing  int                            // entries of current still to come
}

// beginList begins the list that the following entries belong to.
func (r *Reader) beginList() error {
	number, err := r.integer("Ref", true)
	if err != nil {
		return err
	}
	entries, err := r.integer("Hosts", true)
	if err != nil {
		return err
	}
	if number < 0 || number >= maxLists || entries < 0 {
		return errors.New("LEDGER with a number out of range")
	}
	list := []balancer.Endpoint{}
	r.lists.byNumber[number] = &list
	r.lists.current, r.lists.missing = &list, entries
	return nil
}

// addListEntry appends an endpoint to the current list.
func (r *Reader) addListEntry() error {
	if r.lists.missing == 0 {
		return errors.New("ENDPOINT without a LEDGER that counts it")
	}
	v := values{r: r}
	e := balancer.Endpoint{
		ID:      v.intern("Endpoint", true),
		Zone:    v.intern("Zone", false),
		Kind:    v.intern("Sku", false),
		Cell:    v.integer("Pack", false),
		Started: v.micros("LastStartUs", false),
	}
	switch phase := v.text("Phase", true); phase {
	case "ready":
		e.State = balancer.Ready
	case "draining":
		e.State = balancer.Draining
	case "gone":
		e.State = balancer.Removed
	default:
		v.fail("ENDPOINT has an unknown Phase %q", phase)
	}
	r.lists.missing--
	*r.lists.current = append(*r.lists.current, e)
	return v.err
}

// endpointList reads a msgEndpointList: a reference to a complete list or to changes, or the news
// that polling failed.
func (v *values) endpointList() balancer.EndpointList {
	list := balancer.EndpointList{}
	mode := v.text("Mode", true)
	v.integer("Gen", false)
	switch mode {
	case "X":
		list.Failed = true
	case "C", "F":
		list.Complete = true
		list.Entries = v.listEntries()
	case "D":
		list.Entries = v.listEntries()
	default:
		v.fail("REGISTRY has an unknown Mode %q", mode)
	}
	return list
}

// listEntries returns the entries of the list that the current line refers to.
func (v *values) listEntries() []balancer.Endpoint {
	number := v.integer("Ref", true)
	lists := &v.r.lists.byNumber
	if v.err == nil && (number < 0 || number >= maxLists || lists[number] == nil) {
		v.fail("REGISTRY names list %d, which was never given", number)
	}
	if v.err != nil {
		return nil
	}
	return *lists[number]
}
