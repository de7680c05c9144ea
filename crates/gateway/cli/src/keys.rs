//! Keys for sessions between directors, for installs that have no authority of their own.

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use rushcourse_config::{CONTROLLER_NAME, NodeSettings};
use std::fmt::Write;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

fn at_path<T, E: std::fmt::Display>(path: &Path, done: Result<T, E>) -> Result<T, String> {
    done.map_err(|e| format!("{}: {e}", path.display()))
}

/// Writes a file that only its owner reads.
fn secret(path: &Path, text: &str) -> Result<(), String> {
    let mut options = std::fs::OpenOptions::new();
    let mut file = at_path(
        path,
        options
            .write(true)
            .create(true)
            .truncate(true)
            .mode(0o600)
            .open(path),
    )?;
    at_path(path, file.write_all(text.as_bytes()))
}

/// The authority of a folder: the one that is there, or a new one.
fn authority(folder: &Path) -> Result<Issuer<'static, KeyPair>, String> {
    let (pem, key) = (folder.join("authority.pem"), folder.join("authority.key"));
    if pem.exists() != key.exists() {
        return Err(format!(
            "{}: holds only one of authority.pem and authority.key",
            folder.display()
        ));
    }
    // An authority is its name and its key: the certificate that is there was made of the same two.
    let mut params = at_path(&pem, CertificateParams::new(Vec::new()))?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params
        .distinguished_name
        .push(DnType::CommonName, "directors of this gateway");
    if pem.exists() {
        let text = at_path(&key, std::fs::read_to_string(&key))?;
        return Ok(Issuer::new(
            params,
            at_path(&key, KeyPair::from_pem(&text))?,
        ));
    }
    let pair = at_path(&key, KeyPair::generate())?;
    let made = at_path(&pem, params.self_signed(&pair))?;
    secret(&key, &pair.serialize_pem())?;
    at_path(&pem, std::fs::write(&pem, made.pem()))?;
    Ok(Issuer::new(params, pair))
}

/// Makes a certificate and a key for each of the machines whose settings files these are, by the folder's authority.
/// Says what to add to each settings file.
///
/// # Errors
/// The file that can't be read, used or written.
pub fn make(folder: &str, files: &[String]) -> Result<String, String> {
    let folder = Path::new(folder);
    at_path(folder, std::fs::create_dir_all(folder))?;
    let mut boots = Vec::new();
    for file in files {
        let text = at_path(Path::new(file), std::fs::read_to_string(file))?;
        boots.push((file, at_path(Path::new(file), NodeSettings::parse(&text))?));
    }
    let issuer = authority(folder)?;
    let mut out = String::new();
    for (file, boot) in boots {
        let mut names = vec![boot.node.ip_address.to_string()];
        names.extend(
            boot.listen_addresses
                .control_plane
                .map(|_| CONTROLLER_NAME.to_string()),
        );
        let place = |what: &str| folder.join(format!("{}.{what}", boot.node.name));
        let (cert, key) = (place("cert"), place("key"));
        let pair = at_path(&key, KeyPair::generate())?;
        let mut params = at_path(&cert, CertificateParams::new(names))?;
        params
            .distinguished_name
            .push(DnType::CommonName, boot.node.name.as_str());
        let made = at_path(&cert, params.signed_by(&pair, &issuer))?;
        secret(&key, &pair.serialize_pem())?;
        at_path(&cert, std::fs::write(&cert, made.pem()))?;
        let _ = write!(
            out,
            "# {file}\npeers.certificate={}\npeers.key={}\npeers.authority={}\n",
            cert.display(),
            key.display(),
            folder.join("authority.pem").display()
        );
    }
    Ok(out)
}
