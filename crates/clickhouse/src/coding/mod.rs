//! HTTP content codings (RFC 9110, section 8.4.1) supported by ClickHouse.
//!
//! | module | purpose |
//! | --- | --- |
//! | `decoder` | [`Decoder`]: incremental decoding |
//! | `lz4_frame` | the LZ4 frame format |

mod decoder;
mod lz4_frame;

pub use decoder::{decompress_prefix, decompress_start, DecodedStart, Decoder};

use std::io::{self, Write};

/// A content coding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coding {
    /// `gzip`
    Gzip,
    /// `deflate`: the zlib format.
    Deflate,
    /// `br`
    Brotli,
    /// `zstd`
    Zstd,
    /// `lz4`: the frame format.
    Lz4,
}

impl Coding {
    /// All codings in the server's published order of preference.
    const BY_PREFERENCE: [Coding; 5] = [
        Coding::Brotli,
        Coding::Lz4,
        Coding::Zstd,
        Coding::Gzip,
        Coding::Deflate,
    ];

    /// Looks up a coding by its name in header fields; `None` for `identity` and for unknown names.
    pub fn from_name(name: &str) -> Option<Coding> {
        let name = name.trim();
        Coding::BY_PREFERENCE
            .into_iter()
            .find(|coding| coding.name().eq_ignore_ascii_case(name))
    }

    /// The name in header fields.
    pub fn name(self) -> &'static str {
        match self {
            Coding::Gzip => "gzip",
            Coding::Deflate => "deflate",
            Coding::Brotli => "br",
            Coding::Zstd => "zstd",
            Coding::Lz4 => "lz4",
        }
    }

    /// The coding that a ClickHouse server chooses for an `Accept-Encoding`: the first one in its order of preference
    /// that is listed without a quality of 0. Like the server, this ignores all other qualities.
    pub fn negotiate(accept_encoding: &str) -> Option<Coding> {
        let is_accepted = |coding: &Coding| {
            accept_encoding
                .split(',')
                .any(|item| accepted_coding(item) == Some(*coding))
        };
        Coding::BY_PREFERENCE.into_iter().find(is_accepted)
    }
}

/// The coding in one item of `Accept-Encoding` (`gzip;q=0.5`), unless its quality is 0.
fn accepted_coding(item: &str) -> Option<Coding> {
    let (name, parameter) = item.split_once(';').unwrap_or((item, ""));
    let quality = parameter
        .trim()
        .strip_prefix("q=")
        .and_then(|quality| quality.trim().parse::<f64>().ok());
    Coding::from_name(name).filter(|_| quality != Some(0.0))
}

const BROTLI_BUFFER_BYTES: usize = 4096;
const BROTLI_QUALITY: u32 = 3;
/// Window size as a power of two.
const BROTLI_WINDOW_LOG: u32 = 18;
const ZSTD_LEVEL: i32 = 1;

/// Compresses a complete body.
///
/// # Errors
///
/// If the library fails.
pub fn compress(coding: Coding, data: &[u8]) -> io::Result<Vec<u8>> {
    let mut out = Vec::new();
    match coding {
        Coding::Gzip => {
            let mut encoder = flate2::write::GzEncoder::new(out, flate2::Compression::fast());
            encoder.write_all(data)?;
            encoder.finish()
        }
        Coding::Deflate => {
            let mut encoder = flate2::write::ZlibEncoder::new(out, flate2::Compression::fast());
            encoder.write_all(data)?;
            encoder.finish()
        }
        Coding::Brotli => {
            brotli::CompressorWriter::new(
                &mut out,
                BROTLI_BUFFER_BYTES,
                BROTLI_QUALITY,
                BROTLI_WINDOW_LOG,
            )
            .write_all(data)?;
            Ok(out)
        }
        Coding::Zstd => zstd::encode_all(data, ZSTD_LEVEL),
        Coding::Lz4 => {
            let mut encoder = lz4_flex::frame::FrameEncoder::new(out);
            encoder.write_all(data)?;
            encoder.finish().map_err(io::Error::other)
        }
    }
}
