package wire

import (
	"errors"

	"rowancart/balancer"
)

// maxLists is the number of endpoint lists that messages can refer to. Lists are numbered from 0 to
// 15.
const maxLists = 16

// listStore holds the endpoint lists that were read. A list is stored under its number until
// another list replaces it, also across batches, and messages for any instance may refer to it.
type listStore struct {
	byNumber  [maxLists]*[]balancer.Endpoint // nil: no list had that number
	current   *[]balancer.Endpoint           // the list that is being read
	remaining int                            // entries of current that have not been read yet
}

// beginList begins a list, whose entries follow in messages of their own.
func (r *Reader) beginList() error {
	number, err := r.integer(fieldListNumber, required)
	if err != nil {
		return err
	}
	entries, err := r.integer(fieldEntryCount, required)
	if err != nil {
		return err
	}
	if number < 0 || number >= maxLists || entries < 0 {
		return errors.New(msgBeginList + " with a list number or a number of entries out of range")
	}
	list := []balancer.Endpoint{}
	r.lists.byNumber[number] = &list
	r.lists.current = &list
	r.lists.remaining = entries
	return nil
}

// addListEntry appends an endpoint to the current list.
func (r *Reader) addListEntry() error {
	if r.lists.remaining == 0 {
		return errors.New(msgListEntry + " that no " + msgBeginList + " announced")
	}
	f := fieldParser{r: r}
	e := balancer.Endpoint{
		ID:      f.intern(fieldEndpoint, required),
		Zone:    f.intern(fieldZone, optional),
		Kind:    f.intern(fieldKind, optional),
		Cell:    f.integer(fieldCell, optional),
		Started: f.micros(fieldStarted, optional),
		State:   f.state(),
	}
	r.lists.remaining--
	*r.lists.current = append(*r.lists.current, e)
	return f.err
}

// statesByName maps the simulator's names to the states of an endpoint.
var statesByName = map[string]balancer.State{
	"ready":    balancer.Ready,
	"draining": balancer.Draining,
	"gone":     balancer.Removed,
}

// state parses the state of an endpoint.
func (f *fieldParser) state() balancer.State {
	name := f.bytes(fieldState, required)
	state, ok := statesByName[string(name)]
	if !ok {
		f.fail("%s has an unknown %s %q", msgListEntry, fieldState, name)
	}
	return state
}

// endpointList parses a msgEndpointList, which refers to a complete list or to a list of changes,
// or reports that discovery failed.
func (f *fieldParser) endpointList() balancer.EndpointList {
	mode := f.text(fieldListMode, required)
	f.integer(fieldVersion, optional)
	switch mode {
	case modeFailed:
		return balancer.EndpointList{Failed: true}
	case modeComplete, modeFull:
		return balancer.EndpointList{Complete: true, Entries: f.listEntries()}
	case modeChanges:
		return balancer.EndpointList{Entries: f.listEntries()}
	}
	f.fail("%s has an unknown %s %q", msgEndpointList, fieldListMode, mode)
	return balancer.EndpointList{}
}

// listEntries returns the entries of the list that the current line refers to.
func (f *fieldParser) listEntries() []balancer.Endpoint {
	number := f.integer(fieldListNumber, required)
	lists := &f.r.lists.byNumber
	if f.err == nil && (number < 0 || number >= maxLists || lists[number] == nil) {
		f.fail("%s refers to list %d, which was never sent", msgEndpointList, number)
	}
	if f.err != nil {
		return nil
	}
	return *lists[number]
}
