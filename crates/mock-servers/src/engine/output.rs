//! Results: formats, compressed blocks, content codings, chunks.

use super::sql::{Column, Value};
use driftfront_clickhouse::block::{self, Method};
use driftfront_clickhouse::coding::Coding;
use std::io::{self, Write};
use std::net::TcpStream;

/// The formats that the stand-in writes.
pub const FORMATS: &[&str] = &[
    "TabSeparated",
    "TSV",
    "TabSeparatedWithNames",
    "TSVWithNames",
    "TabSeparatedWithNamesAndTypes",
    "TSVWithNamesAndTypes",
    "CSV",
    "CSVWithNames",
    "JSON",
    "JSONCompact",
    "JSONEachRow",
    "JSONCompactEachRow",
    "Values",
    "RowBinary",
    "RowBinaryWithNamesAndTypes",
    "Null",
];

/// The content type that goes with a format.
pub fn content_type(format: &str) -> &'static str {
    match format {
        "CSV" => "text/csv; charset=UTF-8; header=absent",
        "CSVWithNames" => "text/csv; charset=UTF-8; header=present",
        "JSON" | "JSONCompact" => "application/json; charset=UTF-8",
        "JSONEachRow" | "JSONCompactEachRow" => "application/x-ndjson; charset=UTF-8",
        "RowBinary" | "RowBinaryWithNamesAndTypes" => "application/octet-stream",
        f if f.starts_with('T') => "text/tab-separated-values; charset=UTF-8",
        _ => "text/plain; charset=UTF-8",
    }
}

fn json(value: &Value) -> String {
    match value {
        // 64-bit numbers are quoted, as servers did for long.
        Value::Number(n) => format!("\"{n}\""),
        Value::Text(s) => {
            format!(
                "\"{}\"",
                s.replace('\\', "\\\\")
                    .replace('"', "\\\"")
                    .replace('\n', "\\n")
            )
        }
    }
}

fn quoted(text: &str) -> String {
    json(&Value::Text(text.into()))
}

fn leb128(mut n: usize, out: &mut Vec<u8>) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

/// Writes a result in one format.
pub struct Writer<'a> {
    format: &'a str,
    columns: &'a [Column],
    rows: u64,
}

impl<'a> Writer<'a> {
    /// For a result of these columns.
    pub fn new(format: &'a str, columns: &'a [Column]) -> Writer<'a> {
        Writer {
            format,
            columns,
            rows: 0,
        }
    }

    /// What stands before the rows.
    pub fn begin(&self, out: &mut Vec<u8>) {
        let names: Vec<&str> = self.columns.iter().map(|c| c.name.as_str()).collect();
        let kinds: Vec<&str> = self.columns.iter().map(|c| c.kind).collect();
        match self.format {
            "TabSeparatedWithNames" | "TSVWithNames" => {
                out.extend((names.join("\t") + "\n").bytes())
            }
            "TabSeparatedWithNamesAndTypes" | "TSVWithNamesAndTypes" => {
                out.extend((names.join("\t") + "\n" + &kinds.join("\t") + "\n").bytes());
            }
            "CSVWithNames" => {
                let names: Vec<String> = names.iter().map(|n| format!("\"{n}\"")).collect();
                out.extend((names.join(",") + "\n").bytes());
            }
            "JSON" | "JSONCompact" => {
                let each = self.columns.iter();
                let meta = each.map(|c| {
                    format!(
                        "\t\t{{\n\t\t\t\"name\": {},\n\t\t\t\"type\": \"{}\"\n\t\t}}",
                        quoted(&c.name),
                        c.kind
                    )
                });
                let meta: Vec<String> = meta.collect();
                out.extend(
                    format!(
                        "{{\n\t\"meta\":\n\t[\n{}\n\t],\n\n\t\"data\":\n\t[\n",
                        meta.join(",\n")
                    )
                    .bytes(),
                );
            }
            "RowBinaryWithNamesAndTypes" => {
                leb128(names.len(), out);
                for text in names.iter().chain(&kinds) {
                    leb128(text.len(), out);
                    out.extend(text.bytes());
                }
            }
            _ => {}
        }
    }

    /// One row.
    pub fn row(&mut self, row: &[Value], out: &mut Vec<u8>) {
        let text = |v: &Value| match v {
            Value::Number(n) => n.to_string(),
            Value::Text(s) => s.clone(),
        };
        let escaped = |v: &Value| {
            text(v)
                .replace('\\', "\\\\")
                .replace('\t', "\\t")
                .replace('\n', "\\n")
        };
        let first = self.rows == 0;
        self.rows += 1;
        match self.format {
            "CSV" | "CSVWithNames" => {
                let each = row.iter().map(|v| match v {
                    Value::Number(n) => n.to_string(),
                    Value::Text(s) => format!("\"{}\"", s.replace('"', "\"\"")),
                });
                out.extend((each.collect::<Vec<_>>().join(",") + "\n").bytes());
            }
            "JSON" => {
                let each = row
                    .iter()
                    .zip(self.columns)
                    .map(|(v, c)| format!("\t\t\t{}: {}", quoted(&c.name), json(v)));
                let each: Vec<String> = each.collect();
                let comma = if first { "" } else { ",\n" };
                out.extend(format!("{comma}\t\t{{\n{}\n\t\t}}", each.join(",\n")).bytes());
            }
            "JSONCompact" => {
                let each: Vec<String> = row.iter().map(json).collect();
                let comma = if first { "" } else { ",\n" };
                out.extend(format!("{comma}\t\t[{}]", each.join(", ")).bytes());
            }
            "JSONEachRow" => {
                let each = row
                    .iter()
                    .zip(self.columns)
                    .map(|(v, c)| format!("{}:{}", quoted(&c.name), json(v)));
                out.extend(format!("{{{}}}\n", each.collect::<Vec<_>>().join(",")).bytes());
            }
            "JSONCompactEachRow" => {
                let each: Vec<String> = row.iter().map(json).collect();
                out.extend(format!("[{}]\n", each.join(", ")).bytes());
            }
            "Values" => {
                let each = row.iter().map(|v| match v {
                    Value::Number(n) => n.to_string(),
                    Value::Text(s) => format!("'{}'", s.replace('\\', "\\\\").replace('\'', "\\'")),
                });
                let comma = if first { "" } else { "," };
                out.extend(format!("{comma}({})", each.collect::<Vec<_>>().join(",")).bytes());
            }
            "RowBinary" | "RowBinaryWithNamesAndTypes" => {
                for value in row {
                    match value {
                        Value::Number(n) => out.extend(n.to_le_bytes()),
                        Value::Text(s) => {
                            leb128(s.len(), out);
                            out.extend(s.bytes());
                        }
                    }
                }
            }
            "Null" => {}
            _ => {
                out.extend((row.iter().map(escaped).collect::<Vec<_>>().join("\t") + "\n").bytes())
            }
        }
    }

    /// What stands behind the rows; an exception where the format has a key for one.
    pub fn end(&self, exception: Option<&str>, out: &mut Vec<u8>) {
        if matches!(self.format, "JSON" | "JSONCompact") {
            let told = exception
                .map(|e| format!(",\n\n\t\"exception\": {}", quoted(e)))
                .unwrap_or_default();
            out.extend(format!("\n\t],\n\n\t\"rows\": {}{told}\n}}\n", self.rows).bytes());
        } else if let (Some(e), true) = (exception, self.format.starts_with("JSON")) {
            out.extend(format!("{{\"exception\": {}}}\n", quoted(e)).bytes());
        }
    }
}

/// Writes chunks; the last one only when asked to.
pub struct Chunks {
    to: TcpStream,
    plain: bool,
    /// Bytes written, without their framing.
    pub total: u64,
}

impl Chunks {
    /// On a connection; `plain`: the body ends with the connection.
    pub fn new(to: TcpStream, plain: bool) -> Chunks {
        Chunks {
            to,
            plain,
            total: 0,
        }
    }
    /// The proper end.
    pub fn finish(&mut self) -> io::Result<()> {
        if self.plain {
            return self.to.shutdown(std::net::Shutdown::Write);
        }
        self.to.write_all(driftfront_http::LAST_CHUNK)
    }
}

impl Write for Chunks {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.total += bytes.len() as u64;
        if self.plain {
            self.to.write_all(bytes)?;
        } else {
            self.to.write_all(&driftfront_http::chunk(bytes))?;
        }
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The layers between rows and chunks.
pub enum Layers {
    /// None.
    Plain(Chunks),
    /// `gzip`
    Gzip(flate2::write::GzEncoder<Chunks>),
    /// `deflate`
    Deflate(flate2::write::ZlibEncoder<Chunks>),
    /// `zstd`
    Zstd(zstd::stream::write::Encoder<'static, Chunks>),
    /// `br`
    Brotli(Box<brotli::CompressorWriter<Chunks>>),
    /// `lz4`
    Lz4(Box<lz4_flex::frame::FrameEncoder<Chunks>>),
}

/// A result's body on its way.
pub struct Body {
    layers: Layers,
    frames: Option<Method>,
    held: Vec<u8>,
    /// The next block gets a wrong byte.
    pub spoil: bool,
}

/// Bytes of one compressed block, or of one chunk.
const BLOCK: usize = 64 * 1024;

impl Body {
    /// A body in these layers.
    pub fn new(to: Chunks, coding: Option<Coding>, frames: Option<Method>) -> io::Result<Body> {
        let fast = flate2::Compression::fast();
        let layers = match coding {
            None => Layers::Plain(to),
            Some(Coding::Gzip) => Layers::Gzip(flate2::write::GzEncoder::new(to, fast)),
            Some(Coding::Deflate) => Layers::Deflate(flate2::write::ZlibEncoder::new(to, fast)),
            Some(Coding::Zstd) => Layers::Zstd(zstd::stream::write::Encoder::new(to, 1)?),
            Some(Coding::Brotli) => {
                Layers::Brotli(Box::new(brotli::CompressorWriter::new(to, 4096, 2, 18)))
            }
            Some(Coding::Lz4) => Layers::Lz4(Box::new(lz4_flex::frame::FrameEncoder::new(to))),
        };
        Ok(Body {
            layers,
            frames,
            held: Vec::new(),
            spoil: false,
        })
    }

    fn layer(&mut self) -> &mut dyn Write {
        match &mut self.layers {
            Layers::Plain(w) => w,
            Layers::Gzip(w) => w,
            Layers::Deflate(w) => w,
            Layers::Zstd(w) => w,
            Layers::Brotli(w) => w,
            Layers::Lz4(w) => w,
        }
    }

    /// Rows.
    pub fn push(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.held.extend_from_slice(bytes);
        if self.held.len() >= BLOCK {
            self.pass()?;
        }
        Ok(())
    }

    /// Writes what is held.
    fn pass(&mut self) -> io::Result<()> {
        if self.held.is_empty() {
            return Ok(());
        }
        let mut bytes = std::mem::take(&mut self.held);
        if let Some(method) = self.frames {
            bytes = block::pack(method, &bytes);
            if std::mem::take(&mut self.spoil) {
                let last = bytes.len() - 1;
                bytes[last] ^= 0x55;
            }
        }
        self.layer().write_all(&bytes)
    }

    /// Writes all of it as far as it goes.
    pub fn flush(&mut self) -> io::Result<()> {
        self.pass()?;
        self.layer().flush()
    }

    /// Ends the layers; the chunks stay to be ended.
    pub fn end(mut self) -> io::Result<Chunks> {
        self.pass()?;
        match self.layers {
            Layers::Plain(w) => Ok(w),
            Layers::Gzip(w) => w.finish(),
            Layers::Deflate(w) => w.finish(),
            Layers::Zstd(w) => w.finish(),
            Layers::Brotli(w) => Ok(w.into_inner()),
            Layers::Lz4(w) => w.finish().map_err(io::Error::other),
        }
    }
}
