//! Signed tokens that a caller presents to any router.

use std::net::SocketAddr;

use {
    hmac::{Hmac, Mac},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    sha2::Sha256,
    smol_str::SmolStr,
};

use crate::{
    BudgetId, Category, CustomerId, EndpointId, Error, HolderId, RequestId, Result, RouteId, Tokens,
};

/// Signed token for a caller. The variant is part of the signed text, so that a token of one purpose
/// is never accepted for the other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "purpose", rename_all = "snake_case")]
pub enum CallerToken {
    /// Resumes an engine stream.
    Resume(ResumeToken),
    /// Allows one run at one router.
    Ticket(RunTicket),
}

/// Identifies an engine stream that a caller may resume through any router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// Request that started the stream; the engine stores the stream under this id.
    pub request: RequestId,
    /// Customer that may resume it.
    pub customer: CustomerId,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Endpoint that runs the stream.
    pub endpoint: EndpointId,
    /// Router run whose grant holds the worst-case charge.
    pub holder: HolderId,
    /// Tokens held.
    pub hold: Tokens,
}

/// Allows one run of a request at the one router run that issued it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTicket {
    /// Id of the ticket, unique in the fleet.
    pub id: SmolStr,
    /// Customer that may use it.
    pub customer: CustomerId,
    /// Budget that is charged.
    pub budget: BudgetId,
    /// Route that it is valid for.
    pub route: RouteId,
    /// Router run that may run the request.
    pub holder: HolderId,
    /// Address of that router's caller API.
    pub address: SocketAddr,
    /// End of validity, in milliseconds of the holder's monotonic clock since its start.
    pub until_ms: u64,
}

/// Signs a value with the fleet secret: hex of the JSON text, a dot, hex of its HMAC-SHA-256.
///
/// # Errors
///
/// `Data` if the value cannot be serialized or the secret is empty.
pub fn sign<T: Serialize>(secret: &[u8], value: &T) -> Result<String> {
    let text = serde_json::to_vec(value)
        .map_err(|error| Error::new(Category::Data, format!("cannot sign: {error}")))?;
    let mac = mac_of(secret, &text)?.finalize().into_bytes();
    Ok(format!("{}.{}", hex::encode(&text), hex::encode(mac)))
}

/// Verifies the signature of a token and returns its value.
///
/// # Errors
///
/// `Data` if the token is malformed or not signed with this secret.
pub fn verify<T: DeserializeOwned>(secret: &[u8], token: &str) -> Result<T> {
    let invalid = || {
        Error::new(
            Category::Data,
            "the token is not valid; send it exactly as received",
        )
    };
    let (text, mac) = token.split_once('.').ok_or_else(invalid)?;
    let text = hex::decode(text).map_err(|_| invalid())?;
    let mac = hex::decode(mac).map_err(|_| invalid())?;
    mac_of(secret, &text)?
        .verify_slice(&mac)
        .map_err(|_| invalid())?;
    serde_json::from_slice(&text).map_err(|_| invalid())
}

fn mac_of(secret: &[u8], text: &[u8]) -> Result<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret)
        .map_err(|_| Error::new(Category::Data, "the fleet secret is empty; set it"))?;
    mac.update(text);
    Ok(mac)
}
