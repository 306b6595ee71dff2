//! Signed tokens that a caller carries between routers.

use {
    hmac::{Hmac, Mac},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    sha2::Sha256,
};

use crate::{
    BudgetId, Category, CustomerId, EndpointId, Error, HolderId, RequestId, Result, Tokens,
};

/// Names an engine stream that a caller may resume through any router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeToken {
    /// Request that started the stream.
    pub request: RequestId,
    /// Customer that may resume it.
    pub customer: CustomerId,
    /// Budget that pays.
    pub budget: BudgetId,
    /// Endpoint that runs the stream.
    pub endpoint: EndpointId,
    /// Router run whose grant holds the worst case.
    pub holder: HolderId,
    /// Tokens held.
    pub hold: Tokens,
}

/// Signs a value with the fleet secret: hex of the JSON text, a dot, hex of its HMAC-SHA-256.
///
/// # Errors
///
/// `Data` when the value cannot be written as JSON.
pub fn sign<T: Serialize>(secret: &[u8], value: &T) -> Result<String> {
    let text = serde_json::to_vec(value)
        .map_err(|error| Error::new(Category::Data, format!("cannot sign: {error}")))?;
    let mac = mac_of(secret, &text)?.finalize().into_bytes();
    Ok(format!("{}.{}", hex::encode(&text), hex::encode(mac)))
}

/// Checks the signature of a token and reads its value.
///
/// # Errors
///
/// `Data` when the token is malformed or its signature is not of this fleet.
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
