package power

import (
	"io/fs"
	"os"
	"path/filepath"
)

// ReadDir returns the image of a directory on the real disk, without the files whose base names exclude returns true
// for.
func ReadDir(dir string, exclude func(name string) bool) (map[string][]byte, error) {
	image := map[string][]byte{}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !entry.Type().IsRegular() || exclude(entry.Name()) {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(dir, path)
		image[relative] = content
		return err
	})
	return image, err
}

// WriteDir replaces the files of a directory on the real disk with those of an image. Files whose base names
// exclude returns true for are not changed.
func WriteDir(dir string, image map[string][]byte, exclude func(name string) bool) error {
	present, err := ReadDir(dir, exclude)
	if err != nil {
		return err
	}
	for path := range present {
		if err := os.Remove(filepath.Join(dir, path)); err != nil {
			return err
		}
	}
	for path, content := range image {
		if err := writeFile(filepath.Join(dir, path), content); err != nil {
			return err
		}
	}
	return nil
}

// writeFile writes a file and creates its parent directories.
func writeFile(path string, content []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o600)
}
