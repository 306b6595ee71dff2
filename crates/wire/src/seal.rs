//! Per-frame authentication of the connections between routers. Frames are not encrypted.
//!
//! In the handshake, each end sends a nonce and its holder id in cleartext. Each following frame
//! carries an HMAC over its direction, its sequence number on the connection and its payload. The
//! key is derived from the fleet secret, both nonces and both holder ids. A frame that was
//! modified, replayed, reordered, reflected or taken from another connection does not verify, and
//! neither does the frame after a dropped one; the receiver then ends the connection.

use std::{io, marker::PhantomData, pin::Pin};

use {
    bincode::Options,
    hmac::{Hmac, Mac},
    jasminewall_core::HolderId,
    serde::{Serialize, de::DeserializeOwned},
    sha2::Sha256,
    tarpc::{
        serde_transport::Transport,
        tokio_serde::{Deserializer, Serializer},
        tokio_util::{
            bytes::{Bytes, BytesMut},
            codec::LengthDelimitedCodec,
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_SIZE: usize = 1 << 20;
/// Maximum length of the VM name in a hello, in bytes.
const MAX_VM_LENGTH: u16 = 1_024;
/// Length of a nonce, in bytes.
const NONCE_LENGTH: usize = 16;
/// Length of a frame's HMAC tag, in bytes. To keep probes small, the HMAC-SHA-256 is truncated to
/// 128 bits, as RFC 2104 allows.
const TAG_LENGTH: usize = 16;

/// Size of the length field at the start of a frame, in bytes.
const LENGTH_FIELD_SIZE: usize = 4;

type FrameMac = Hmac<Sha256>;

/// Codec that authenticates the frames of a connection.
pub struct AuthenticatedCodec<Item, SinkItem> {
    key: FrameMac,
    sending: Direction,
    sent: u64,
    received: u64,
    items: PhantomData<fn(SinkItem) -> Item>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    FromClient,
    FromServer,
}

impl Direction {
    fn reverse(self) -> Self {
        match self {
            Self::FromClient => Self::FromServer,
            Self::FromServer => Self::FromClient,
        }
    }
}

struct HelloFrame {
    nonce: [u8; NONCE_LENGTH],
    holder: HolderId,
}

/// Transport over an authenticated connection.
pub type AuthenticatedTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, AuthenticatedCodec<Item, SinkItem>>;

/// Performs the handshake as client. Returns the server's holder id and the transport.
///
/// # Errors
///
/// If the connection fails or the other end sends an invalid hello.
pub async fn connect<Item, SinkItem>(
    stream: TcpStream,
    secret: &str,
    own: &HolderId,
) -> io::Result<(HolderId, AuthenticatedTransport<Item, SinkItem>)>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    handshake(stream, secret, own, Direction::FromClient).await
}

/// Performs the handshake as server. Returns the client's holder id and the transport.
///
/// # Errors
///
/// If the connection fails or the other end sends an invalid hello.
pub async fn accept<Item, SinkItem>(
    stream: TcpStream,
    secret: &str,
    own: &HolderId,
) -> io::Result<(HolderId, AuthenticatedTransport<Item, SinkItem>)>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    handshake(stream, secret, own, Direction::FromServer).await
}

async fn handshake<Item, SinkItem>(
    mut stream: TcpStream,
    secret: &str,
    own: &HolderId,
    sending: Direction,
) -> io::Result<(HolderId, AuthenticatedTransport<Item, SinkItem>)>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    stream.set_nodelay(true)?;
    let hello = HelloFrame {
        nonce: rand::random(),
        holder: own.clone(),
    };
    hello.write(&mut stream).await?;
    let peer_hello = HelloFrame::read(&mut stream).await?;
    let key = match sending {
        Direction::FromClient => derive_key(secret, &hello, &peer_hello)?,
        Direction::FromServer => derive_key(secret, &peer_hello, &hello)?,
    };
    let codec = AuthenticatedCodec {
        key,
        sending,
        sent: 0,
        received: 0,
        items: PhantomData,
    };
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_SIZE)
        .new_framed(stream);
    Ok((
        peer_hello.holder,
        tarpc::serde_transport::new(framed, codec),
    ))
}

/// Derives the key of a connection. It depends on the nonces, so frames of one connection do not
/// verify on another.
fn derive_key(secret: &str, client: &HelloFrame, server: &HelloFrame) -> io::Result<FrameMac> {
    let mut mac = new_mac(secret.as_bytes())?;
    for hello in [client, server] {
        mac.update(&hello.nonce);
        mac.update(&(hello.holder.vm.len() as u64).to_be_bytes());
        mac.update(hello.holder.vm.as_bytes());
        mac.update(&hello.holder.boot.to_be_bytes());
    }
    new_mac(&mac.finalize().into_bytes())
}

fn new_mac(key: &[u8]) -> io::Result<FrameMac> {
    FrameMac::new_from_slice(key).map_err(io::Error::other)
}

impl HelloFrame {
    async fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let vm = self.holder.vm.as_bytes();
        let length = u16::try_from(vm.len()).map_err(io::Error::other)?;
        let mut bytes = self.nonce.to_vec();
        bytes.extend_from_slice(&self.holder.boot.to_be_bytes());
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(vm);
        stream.write_all(&bytes).await
    }

    async fn read(stream: &mut TcpStream) -> io::Result<Self> {
        let mut nonce = [0; NONCE_LENGTH];
        stream.read_exact(&mut nonce).await?;
        let boot = stream.read_u64().await?;
        let length = stream.read_u16().await?;
        if length > MAX_VM_LENGTH {
            return Err(io::Error::other("the VM name in the hello is too long"));
        }
        let mut vm = vec![0; usize::from(length)];
        stream.read_exact(&mut vm).await?;
        let vm = String::from_utf8(vm).map_err(io::Error::other)?;
        Ok(Self {
            nonce,
            holder: HolderId::new(vm, boot),
        })
    }
}

impl<Item, SinkItem> AuthenticatedCodec<Item, SinkItem> {
    fn frame_mac(&self, direction: Direction, sequence: u64, payload: &[u8]) -> FrameMac {
        let mut mac = self.key.clone();
        mac.update(&[direction as u8]);
        mac.update(&sequence.to_be_bytes());
        mac.update(payload);
        mac
    }
}

/// Returns the size of a message on the wire, in bytes: length prefix, payload and HMAC tag.
///
/// # Errors
///
/// If the message exceeds the maximum frame size.
pub fn frame_size(message: &impl Serialize) -> io::Result<u64> {
    let size = encoding().serialized_size(message);
    let size = size.map_err(io::Error::other)?;
    Ok(size + (LENGTH_FIELD_SIZE + TAG_LENGTH) as u64)
}

/// Returns the encoding of payloads: bincode with variable-length integers.
fn encoding() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_FRAME_SIZE as u64)
}

impl<Item, SinkItem: Serialize> Serializer<SinkItem> for AuthenticatedCodec<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &SinkItem) -> io::Result<Bytes> {
        let codec = self.get_mut();
        let mut payload = encoding().serialize(item).map_err(io::Error::other)?;
        let tag = codec
            .frame_mac(codec.sending, codec.sent, &payload)
            .finalize();
        codec.sent += 1;
        payload.extend_from_slice(&tag.into_bytes()[..TAG_LENGTH]);
        Ok(payload.into())
    }
}

impl<Item: DeserializeOwned, SinkItem> Deserializer<Item> for AuthenticatedCodec<Item, SinkItem> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<Item> {
        let codec = self.get_mut();
        let too_short = || io::Error::other("the frame is too short for an authentication tag");
        let split = frame.len().checked_sub(TAG_LENGTH).ok_or_else(too_short)?;
        let (payload, tag) = frame.split_at(split);
        codec
            .frame_mac(codec.sending.reverse(), codec.received, payload)
            .verify_truncated_left(tag)
            .map_err(|_| {
                io::Error::new(
                    io::ErrorKind::PermissionDenied,
                    "frame authentication failed; set the same [fleet] secret on all routers",
                )
            })?;
        codec.received += 1;
        encoding().deserialize(payload).map_err(io::Error::other)
    }
}
