//! Creates certificates and keys for TLS between nodes, for deployments without a certificate authority.

use crate::error::{AtPath, CliError, FileProblem};
use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair};
use rushcourse_config::{CONTROLLER_DNS_NAME, NodeSettings};
use std::fmt::Write as _;
use std::io::Write as _;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Common name of the authority. It must not change, because new certificates name it as their issuer and must match
/// existing `authority.pem` files.
const AUTHORITY_NAME: &str = "directors of this gateway";
/// File mode of private keys, readable only by the owner.
const KEY_FILE_MODE: u32 = 0o600;

/// Creates a certificate and a key for the machine of each settings file, signed by the authority in `directory`.
/// Returns the lines to be added to each settings file.
///
/// # Errors
/// A file can't be read, is invalid, or can't be written.
pub(crate) fn create(directory: &str, settings_files: &[String]) -> Result<String, CliError> {
    let directory = Path::new(directory);
    std::fs::create_dir_all(directory).at_path(directory)?;
    let mut machines = Vec::new();
    for file in settings_files {
        let text = std::fs::read_to_string(file).at_path(file)?;
        machines.push((file, NodeSettings::parse(&text).at_path(file)?));
    }
    let authority = load_or_create_authority(directory)?;
    let mut lines = String::new();
    for (file, settings) in machines {
        let (certificate, key) = create_machine_files(directory, &settings, &authority)?;
        let _ = write!(
            lines,
            "# {file}\npeers.certificate={certificate}\npeers.key={key}\npeers.authority={}\n",
            directory.join("authority.pem").display()
        );
    }
    Ok(lines)
}

/// Loads the authority in `directory`, or creates it if there is none.
fn load_or_create_authority(directory: &Path) -> Result<Issuer<'static, KeyPair>, CliError> {
    let certificate_file = directory.join("authority.pem");
    let key_file = directory.join("authority.key");
    if certificate_file.exists() != key_file.exists() {
        return Err(FileProblem::IncompleteAuthority).at_path(directory);
    }
    // An issuer consists of a name and a key, so an existing certificate need not be read.
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

/// Writes the certificate and key of one machine and returns the paths of both files.
fn create_machine_files(
    directory: &Path,
    settings: &NodeSettings,
    authority: &Issuer<'_, KeyPair>,
) -> Result<(String, String), CliError> {
    let certificate_file = directory.join(format!("{}.cert", settings.node.name));
    let key_file = directory.join(format!("{}.key", settings.node.name));
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
