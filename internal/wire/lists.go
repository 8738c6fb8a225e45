package wire

import (
	"errors"

	"rowancart/balancer"
)

// maxLists is how many endpoint lists a batch may refer to: list numbers run from 0 to 15.
const maxLists = 16

// listReader collects endpoint lists. A list has its number until another list gets it, also in
// later batches, and any instance may be referred to it.
type listReader struct {
	byNumber [maxLists]*[]balancer.Endpoint // nil: that number was never used
	current  *[]balancer.Endpoint           // the list that is being read
	missing  int                            // entries of current still to come
}

// beginList begins the list that the following entries belong to.
func (r *Reader) beginList() error {
	number, err := r.integer(fieldList, required)
	if err != nil {
		return err
	}
	entries, err := r.integer(fieldEntries, required)
	if err != nil {
		return err
	}
	if number < 0 || number >= maxLists || entries < 0 {
		return errors.New(msgBeginList + " with a number out of range")
	}
	list := []balancer.Endpoint{}
	r.lists.byNumber[number] = &list
	r.lists.current = &list
	r.lists.missing = entries
	return nil
}

// addListEntry appends an endpoint to the current list.
func (r *Reader) addListEntry() error {
	if r.lists.missing == 0 {
		return errors.New(msgListEntry + " without a " + msgBeginList + " that counts it")
	}
	v := values{r: r}
	e := balancer.Endpoint{
		ID:      v.intern(fieldEndpoint, required),
		Zone:    v.intern(fieldZone, optional),
		Kind:    v.intern(fieldKind, optional),
		Cell:    v.integer(fieldCell, optional),
		Started: v.micros(fieldStarted, optional),
		State:   v.state(),
	}
	r.lists.missing--
	*r.lists.current = append(*r.lists.current, e)
	return v.err
}

// states are the states of an endpoint by their names.
var states = map[string]balancer.State{
	"ready":    balancer.Ready,
	"draining": balancer.Draining,
	"gone":     balancer.Removed,
}

// state reads the state of an endpoint.
func (v *values) state() balancer.State {
	name := v.bytes(fieldState, required)
	state, ok := states[string(name)]
	if !ok {
		v.fail("%s has an unknown %s %q", msgListEntry, fieldState, name)
	}
	return state
}

// endpointList reads a msgEndpointList: a reference to a complete list or to changes, or the report
// that discovery failed.
func (v *values) endpointList() balancer.EndpointList {
	mode := v.text(fieldListMode, required)
	v.integer(fieldVersion, optional)
	switch mode {
	case modeFailed:
		return balancer.EndpointList{Failed: true}
	case modeComplete, modeFull:
		return balancer.EndpointList{Complete: true, Entries: v.listEntries()}
	case modeChanges:
		return balancer.EndpointList{Entries: v.listEntries()}
	}
	v.fail("%s has an unknown %s %q", msgEndpointList, fieldListMode, mode)
	return balancer.EndpointList{}
}

// listEntries returns the entries of the list that the current line refers to.
func (v *values) listEntries() []balancer.Endpoint {
	number := v.integer(fieldList, required)
	lists := &v.r.lists.byNumber
	if v.err == nil && (number < 0 || number >= maxLists || lists[number] == nil) {
		v.fail("%s names list %d, which was never given", msgEndpointList, number)
	}
	if v.err != nil {
		return nil
	}
	return *lists[number]
}
