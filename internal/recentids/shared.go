package recentids

import (
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"syscall"
	"unsafe"
)

// The layout of the file that holds a shared set. Processes of different versions share the file,
// so a change of the layout or of the fingerprints needs another fileMagic.
const (
	fileMagic      = "recent-ids 1\n\x00\x00\x00"
	keyOffset      = len(fileMagic)
	sequenceOffset = keyOffset + keySize
	slotsOffset    = 64
	slotSize       = 8 // bytes
	fileSize       = slotsOffset + slotCount*slotSize
)

// errForeignFile means that a file does not hold a set of this version.
var errForeignFile = errors.New("file does not hold a set of recent ids of this version")

// Open returns the set that a file holds, and which all processes that open the file share. An
// empty file becomes an empty set. The memory of the set is that of the file, and stays mapped
// until the process exits. The file can be closed afterwards.
func Open(file *os.File) (*Set, error) {
	if err := initialize(file); err != nil {
		return nil, fmt.Errorf("recent ids: %w", err)
	}
	memory, err := syscall.Mmap(int(file.Fd()), 0, fileSize, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("recent ids: mmap: %w", err)
	}
	s := &Set{
		sequence: (*uint64)(unsafe.Pointer(&memory[sequenceOffset])),
		slots:    unsafe.Slice((*uint64)(unsafe.Pointer(&memory[slotsOffset])), slotCount),
	}
	copy(s.key[:], memory[keyOffset:])
	return s, nil
}

// initialize writes an empty set into an empty file, and checks any other file. Only one process
// does so at a time. All of the file is written, so that using its memory never needs space that
// the file system does not have.
func initialize(file *os.File) error {
	fd := int(file.Fd())
	if err := syscall.Flock(fd, syscall.LOCK_EX); err != nil {
		return fmt.Errorf("flock: %w", err)
	}
	defer func() { _ = syscall.Flock(fd, syscall.LOCK_UN) }()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() == 0 {
		return writeEmptySet(file)
	}
	magic := make([]byte, len(fileMagic))
	if _, err := file.ReadAt(magic, 0); err != nil || string(magic) != fileMagic || info.Size() != fileSize {
		return errForeignFile
	}
	return nil
}

// writeEmptySet writes an empty set with a new key. A file that cannot be written completely is
// left empty.
func writeEmptySet(file *os.File) error {
	content := make([]byte, fileSize)
	copy(content, fileMagic)
	_, _ = rand.Read(content[keyOffset:sequenceOffset]) // never fails, see its documentation
	if _, err := file.WriteAt(content, 0); err != nil {
		return errors.Join(err, file.Truncate(0))
	}
	return nil
}
