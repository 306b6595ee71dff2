//! Authentication of every frame between two routers.
//!
//! Both ends first exchange a nonce and their holder id in clear. Each frame then carries an HMAC
//! over the direction, its number on the connection and its bytes, with a key that both ends derive
//! from the fleet secret, both nonces and both holder ids. A frame that was changed, repeated, left
//! out, sent back or moved from another connection does not verify, and the connection ends.

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

/// Largest frame, in bytes.
pub const FRAME_LIMIT: usize = 1 << 20;
/// Largest holder id in a hello, in bytes.
const HELLO_LIMIT: u16 = 1_024;
/// Length of a nonce, in bytes.
const NONCE_LENGTH: usize = 16;
/// Length of the authentication code of a frame, in bytes: SHA-256 truncated to 128 bits, which
/// RFC 2104 allows and which keeps probes small.
const TAG_LENGTH: usize = 16;

/// Length of the length field of a frame, in bytes.
const LENGTH_SIZE: usize = 4;

type FrameMac = Hmac<Sha256>;

/// Codec that authenticates frames of one connection.
pub struct AuthenticatedCodec<Item, SinkItem> {
    key: FrameMac,
    sends: Direction,
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

/// Transport of one authenticated connection.
pub type AuthenticatedTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, AuthenticatedCodec<Item, SinkItem>>;

/// Opens the calling end of a connection; says which run answers.
///
/// # Errors
///
/// When the connection fails or the other end sends no well-formed hello.
pub async fn connect<Item, SinkItem>(
    stream: TcpStream,
    secret: &str,
    own: &HolderId,
) -> io::Result<(HolderId, AuthenticatedTransport<Item, SinkItem>)>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    open(stream, secret, own, Direction::FromClient).await
}

/// Opens the called end of a connection; says which run calls.
///
/// # Errors
///
/// When the connection fails or the other end sends no well-formed hello.
pub async fn accept<Item, SinkItem>(
    stream: TcpStream,
    secret: &str,
    own: &HolderId,
) -> io::Result<(HolderId, AuthenticatedTransport<Item, SinkItem>)>
where
    Item: DeserializeOwned,
    SinkItem: Serialize,
{
    open(stream, secret, own, Direction::FromServer).await
}

async fn open<Item, SinkItem>(
    mut stream: TcpStream,
    secret: &str,
    own: &HolderId,
    sends: Direction,
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
    let other = HelloFrame::read(&mut stream).await?;
    let key = match sends {
        Direction::FromClient => derive_key(secret, &hello, &other)?,
        Direction::FromServer => derive_key(secret, &other, &hello)?,
    };
    let codec = AuthenticatedCodec {
        key,
        sends,
        sent: 0,
        received: 0,
        items: PhantomData,
    };
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_LIMIT)
        .new_framed(stream);
    Ok((other.holder, tarpc::serde_transport::new(framed, codec)))
}

/// Derives the key of a connection, so that frames of one connection are invalid on every other.
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
        if length > HELLO_LIMIT {
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
    fn mac(&self, direction: Direction, number: u64, bytes: &[u8]) -> FrameMac {
        let mut mac = self.key.clone();
        mac.update(&[direction as u8]);
        mac.update(&number.to_be_bytes());
        mac.update(bytes);
        mac
    }
}

/// Size of a message on the wire, in bytes: length, encoding and authentication code.
///
/// # Errors
///
/// When the message is larger than a frame may be.
pub fn frame_size(message: &impl Serialize) -> io::Result<u64> {
    let size = encoding().serialized_size(message);
    let size = size.map_err(io::Error::other)?;
    Ok(size + (LENGTH_SIZE + TAG_LENGTH) as u64)
}

/// Encoding of messages: integers take as few bytes as their value needs.
fn encoding() -> impl Options {
    bincode::DefaultOptions::new().with_limit(FRAME_LIMIT as u64)
}

impl<Item, SinkItem: Serialize> Serializer<SinkItem> for AuthenticatedCodec<Item, SinkItem> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &SinkItem) -> io::Result<Bytes> {
        let codec = self.get_mut();
        let mut bytes = encoding().serialize(item).map_err(io::Error::other)?;
        let tag = codec.mac(codec.sends, codec.sent, &bytes).finalize();
        codec.sent += 1;
        bytes.extend_from_slice(&tag.into_bytes()[..TAG_LENGTH]);
        Ok(bytes.into())
    }
}

impl<Item: DeserializeOwned, SinkItem> Deserializer<Item> for AuthenticatedCodec<Item, SinkItem> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<Item> {
        let codec = self.get_mut();
        let short = || io::Error::other("a frame without authentication code");
        let split = frame.len().checked_sub(TAG_LENGTH).ok_or_else(short)?;
        let (bytes, tag) = frame.split_at(split);
        codec
            .mac(codec.sends.reverse(), codec.received, bytes)
            .verify_truncated_left(tag)
            .map_err(|_| {
                io::Error::new(
                    io::ErrorKind::PermissionDenied,
                    "a frame does not verify; give all routers the same [fleet] secret",
                )
            })?;
        codec.received += 1;
        encoding().deserialize(bytes).map_err(io::Error::other)
    }
}
