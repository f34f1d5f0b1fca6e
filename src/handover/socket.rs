//! The Unix socket on which a process waits for its successor.
//!
//! Its file is in a folder that successive processes share, so that another process may replace it.

use std::fs;
use std::io::{self, ErrorKind};
use std::os::unix::fs::MetadataExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// A listening Unix socket with its file.
#[derive(Debug)]
pub struct UpgradeSocket {
    listener: UnixListener,
    path: PathBuf,
    file: FileIdentity,
}

/// What tells a file apart from one that has replaced it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct FileIdentity {
    device: u64,
    inode: u64,
}

/// Whose file a path leads to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FileOwner {
    /// The socket's own.
    ThisSocket,
    /// That of a socket on which another process listens.
    OtherProcess,
    /// None, or that of a socket on which nobody listens.
    Nobody,
}

impl UpgradeSocket {
    /// Listens at `path`, replacing the file of any other process.
    ///
    /// # Errors
    ///
    /// If the file can't be created.
    pub fn bind(path: &Path) -> io::Result<Self> {
        // The existing file was left behind, or belongs to the predecessor, which is about to exit.
        _ = fs::remove_file(path);
        let listener = UnixListener::bind(path)?;
        Ok(Self {
            listener,
            path: path.to_owned(),
            file: FileIdentity::of(path)?,
        })
    }

    /// Waits for a connection.
    ///
    /// # Errors
    ///
    /// If the system returns none.
    pub fn accept(&self) -> io::Result<UnixStream> {
        self.listener.accept().map(|(stream, _)| stream)
    }

    /// Returns whose file the path of this socket leads to.
    pub fn file_owner(&self) -> FileOwner {
        match FileIdentity::of(&self.path) {
            Ok(file) if file == self.file => FileOwner::ThisSocket,
            Err(error) if error.kind() == ErrorKind::NotFound => FileOwner::Nobody,
            _ => match UnixStream::connect(&self.path) {
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => FileOwner::Nobody,
                _ => FileOwner::OtherProcess,
            },
        }
    }
}

impl FileIdentity {
    fn of(path: &Path) -> io::Result<Self> {
        let metadata = fs::symlink_metadata(path)?;
        Ok(Self {
            device: metadata.dev(),
            inode: metadata.ino(),
        })
    }
}
