//! Certificates and keys for sessions between nodes, for installs that have no authority of their own.

use crate::error::{AtPath, CliError, FileProblem};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use rushcourse_config::{CONTROLLER_DNS_NAME, NodeSettings};
use std::fmt::Write as _;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// The authority's name in its certificate. An authority is its name and its key, so this never changes.
const AUTHORITY_NAME: &str = "directors of this gateway";
/// Only its owner reads a key.
const KEY_FILE_MODE: u32 = 0o600;

/// Makes a certificate and a key for each of the machines whose settings files these are, by the folder's authority.
/// Gives the lines that belong into each settings file.
///
/// # Errors
/// The file that can't be read, used or written.
pub(crate) fn make(folder: &str, settings_files: &[String]) -> Result<String, CliError> {
    let folder = Path::new(folder);
    std::fs::create_dir_all(folder).at_path(folder)?;
    let mut machines = Vec::new();
    for file in settings_files {
        let text = std::fs::read_to_string(file).at_path(file)?;
        machines.push((file, NodeSettings::parse(&text).at_path(file)?));
    }
    let authority = authority(folder)?;
    let mut lines = String::new();
    for (file, settings) in machines {
        let (certificate, key) = machine_files(folder, &settings, &authority)?;
        let _ = write!(
            lines,
            "# {file}\npeers.certificate={certificate}\npeers.key={key}\npeers.authority={}\n",
            folder.join("authority.pem").display()
        );
    }
    Ok(lines)
}

/// The authority of a folder: the one that is there, or a new one.
fn authority(folder: &Path) -> Result<Issuer<'static, KeyPair>, CliError> {
    let certificate_file = folder.join("authority.pem");
    let key_file = folder.join("authority.key");
    if certificate_file.exists() != key_file.exists() {
        return Err(FileProblem::IncompleteAuthority).at_path(folder);
    }
    // An authority is its name and its key: the certificate that is there was made of the same two.
    let mut params = CertificateParams::new(Vec::new()).at_path(&certificate_file)?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params
        .distinguished_name
        .push(DnType::CommonName, AUTHORITY_NAME);
    if certificate_file.exists() {
        let text = std::fs::read_to_string(&key_file).at_path(&key_file)?;
        let key = KeyPair::from_pem(&text).at_path(&key_file)?;
        return Ok(Issuer::new(params, key));
    }
    let key = KeyPair::generate().at_path(&key_file)?;
    let certificate = params.self_signed(&key).at_path(&certificate_file)?;
    write_key(&key_file, &key)?;
    std::fs::write(&certificate_file, certificate.pem()).at_path(&certificate_file)?;
    Ok(Issuer::new(params, key))
}

/// Writes the certificate and key of one machine, and gives the paths of both files.
fn machine_files(
    folder: &Path,
    settings: &NodeSettings,
    authority: &Issuer<'_, KeyPair>,
) -> Result<(String, String), CliError> {
    let certificate_file = folder.join(format!("{}.cert", settings.node.name));
    let key_file = folder.join(format!("{}.key", settings.node.name));
    let key = KeyPair::generate().at_path(&key_file)?;
    let mut names = vec![settings.node.ip_address.to_string()];
    names.extend(
        settings
            .listen_addresses
            .control_plane
            .map(|_| CONTROLLER_DNS_NAME.to_string()),
    );
    let mut params = CertificateParams::new(names).at_path(&certificate_file)?;
    params
        .distinguished_name
        .push(DnType::CommonName, settings.node.name.as_str());
    let certificate = params
        .signed_by(&key, authority)
        .at_path(&certificate_file)?;
    write_key(&key_file, &key)?;
    std::fs::write(&certificate_file, certificate.pem()).at_path(&certificate_file)?;
    let path = |file: &Path| file.display().to_string();
    Ok((path(&certificate_file), path(&key_file)))
}

fn write_key(path: &Path, key: &KeyPair) -> Result<(), CliError> {
    let mut options = std::fs::OpenOptions::new();
    options
        .write(true)
        .create(true)
        .truncate(true)
        .mode(KEY_FILE_MODE);
    let mut file = options.open(path).at_path(path)?;
    file.write_all(key.serialize_pem().as_bytes()).at_path(path)
}
