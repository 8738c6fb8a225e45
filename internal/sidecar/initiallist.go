package sidecar

import (
	"errors"
	"log/slog"
	"os"
	"time"

	"rowancart/internal/discovery/watch"
	"rowancart/internal/hotrestart"
	"rowancart/internal/logkey"
	"rowancart/internal/proxy"
	"rowancart/internal/snapshot"
)

// storedListMaxAge is how long after a process of the sidecar has last run its endpoint list is
// used if versions can't tell which list is newer.
const storedListMaxAge = time.Minute

// listSource says where the endpoint list comes from that is in force at the start. The values are
// logged.
type listSource string

const (
	fromConfiguration listSource = "configuration"
	fromStoredList    listSource = "stored list"
	fromSnapshot      listSource = "snapshot" // of a version of the program that stores no list
)

// knownList is a complete endpoint list that is known without discovery.
//
// The JSON tags are the field names in stored lists.
type knownList struct {
	watch.Origin
	Endpoints []proxy.Endpoint `json:"Members"`

	source listSource
}

// configuredList returns the list in the configuration, which is empty if there is none.
func configuredList(c Config) knownList {
	list := knownList{Origin: watch.UnknownOrigin(), source: fromConfiguration}
	if version := c.KnownEndpoints.Version; version != nil {
		list.Origin = watch.Origin{Addr: c.Discovery, Position: watch.Position{Version: *version}}
		list.Endpoints = watch.ProxyEndpointList(c.KnownEndpoints).Endpoints
	}
	return list
}

// initialList returns the newest endpoint list that is known at the start: that in the
// configuration, or that which the processes of the sidecar have had latest.
func initialList(c Config, log *slog.Logger) knownList {
	configured := configuredList(c)
	parent := sharedDirParent(c)
	if parent == "" {
		return configured
	}
	dir := hotrestart.NewSharedDir(parent, c.Name)
	stored, age, err := readStoredList(dir, time.Now())
	switch {
	case err == nil:
		return newerList(configured, stored, age)
	case !errors.Is(err, snapshot.ErrNotFound):
		log.Warn("stored endpoint list not used", logkey.Err, err)
	}
	return configured
}

// readStoredList returns the list that the processes of the sidecar have had latest, and the time
// since one of them has last run. If the list can't be read, it returns that of the snapshot.
func readStoredList(dir *hotrestart.SharedDir, now time.Time) (list knownList, age time.Duration, err error) {
	list.source = fromStoredList
	writtenAt, err := snapshot.ReadAnyAge(dir.EndpointListPath(), &list)
	if err == nil {
		if info, err := os.Stat(dir.SnapshotPath()); err == nil && info.ModTime().After(writtenAt) {
			writtenAt = info.ModTime() // snapshots are written while a process runs, lists when they change
		}
		return list, now.Sub(writtenAt), nil
	}
	var state proxy.Snapshot
	age, snapshotErr := snapshot.Read(dir.SnapshotPath(), now, snapshotMaxAge, &state)
	if snapshotErr != nil {
		return knownList{}, 0, err
	}
	return knownList{Origin: watch.UnknownOrigin(), Endpoints: state.Endpoints, source: fromSnapshot}, age, nil
}

// newerList returns the newer of the list in the configuration and the stored one, which was in
// force until age ago. If versions can't tell, the stored list is the newer one, unless it is old:
// the configuration has a list that this sidecar had at an earlier time.
func newerList(configured, stored knownList, age time.Duration) knownList {
	comparable := stored.IsKnown() && stored.Epoch == 0 && (!configured.IsKnown() || stored.Addr == configured.Addr)
	switch {
	case comparable && configured.Version > stored.Version:
		return configured
	case comparable || age <= storedListMaxAge:
		return stored
	}
	configured.Epoch = stored.Epoch + 1 // newer than the stored list, whatever its version
	return configured
}
