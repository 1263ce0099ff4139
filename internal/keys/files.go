package keys

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Names of the authority's files in a Folder.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority-key.pem"
)

// Modes of files and folders. Files with keys or tokens are private.
const (
	publicMode  = 0o644
	privateMode = 0o600
	folderMode  = 0o700
)

// Folder is the path of a folder with an authority, certificates with their keys, and
// tokens. Files in it are never overwritten.
type Folder string

// Path returns the path of a file in the folder.
func (f Folder) Path(name string) string { return filepath.Join(string(f), name) }

// WriteAuthority adds an authority.
func (f Folder) WriteAuthority(a *Authority) error {
	certificate, key, err := a.MarshalPEM()
	if err != nil {
		return fmt.Errorf("keys.WriteAuthority: %w", err)
	}
	if err := f.writePrivate(AuthorityKeyFile, key); err != nil {
		return fmt.Errorf("keys.WriteAuthority: %w", err)
	}
	if err := f.write(AuthorityFile, certificate, publicMode); err != nil {
		return fmt.Errorf("keys.WriteAuthority: %w", err)
	}
	return nil
}

// Authority reads the folder's authority.
func (f Folder) Authority() (*Authority, error) {
	certificate, err := os.ReadFile(f.Path(AuthorityFile))
	if err != nil {
		return nil, fmt.Errorf("keys.Authority: %w", err)
	}
	key, err := os.ReadFile(f.Path(AuthorityKeyFile))
	if err != nil {
		return nil, fmt.Errorf("keys.Authority: %w", err)
	}
	return ParseAuthority(certificate, key)
}

// WritePair adds the certificate NAME.pem and the key NAME-key.pem of a process.
func (f Folder) WritePair(name string, p *Pair) error {
	if err := f.writePrivate(name+"-key.pem", p.Key); err != nil {
		return fmt.Errorf("keys.WritePair: %w", err)
	}
	if err := f.write(name+".pem", p.Certificate, publicMode); err != nil {
		return fmt.Errorf("keys.WritePair: %w", err)
	}
	return nil
}

// WriteToken adds the token NAME.token.
func (f Folder) WriteToken(name, token string) error {
	if err := f.writePrivate(name+".token", []byte(token+"\n")); err != nil {
		return fmt.Errorf("keys.WriteToken: %w", err)
	}
	return nil
}

// WriteScript adds the shell script NAME.sh.
func (f Folder) WriteScript(name, script string) error {
	if err := f.writePrivate(name+".sh", []byte(script)); err != nil {
		return fmt.Errorf("keys.WriteScript: %w", err)
	}
	return nil
}

func (f Folder) writePrivate(name string, data []byte) error {
	return f.write(name, data, privateMode)
}

// write adds a file. It removes the file again if it could not be written completely.
func (f Folder) write(name string, data []byte, mode os.FileMode) error {
	if err := os.MkdirAll(string(f), folderMode); err != nil {
		return err
	}
	file, err := os.OpenFile(f.Path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err = errors.Join(err, file.Close()); err != nil {
		return errors.Join(err, os.Remove(f.Path(name)))
	}
	return nil
}
