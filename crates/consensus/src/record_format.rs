//! Encodes and parses a voter's log file. The store reads and writes the file.
//!
//! The file begins with a header, which identifies its owner. Then come records, each as length, CRC-32 (IEEE 802.3),
//! number and content.

use hollowpaddle_peer_transport::NodeId;

use crate::log_record::{DurableState, Record};

/// Version of the file format.
pub const VERSION: u32 = 1;
/// Largest length of a file, in bytes. A longer file is not trusted, since reading it would exhaust the memory at every
/// start.
pub const MAX_FILE_BYTES: u64 = 64 << 20;

const MAGIC: &[u8; 8] = b"hpcouncl";
/// Length of the header: magic, version, cluster, node, checksum.
const HEADER_BYTES: usize = 8 + 4 + 8 + 2 + 4;
/// Length of the frame before a record: length, checksum, number.
const FRAME_BYTES: usize = 4 + 4 + 8;
/// Number of bytes after a damaged record in which intact records are searched.
const MAX_SEARCHED_BYTES: usize = 1 << 20;
/// Largest gap between the numbers of two successive records. A greater gap is treated as damage.
const MAX_NUMBER_GAP: u64 = 1 << 40;

/// The reason why a file is not trusted.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// The file belongs to another node, or to another cluster.
    #[error(
        "the file is of node {node_id} of cluster {cluster:016x}, not of node {own_node_id} of cluster {own_cluster:016x}"
    )]
    Foreign {
        /// The node id in the file.
        node_id: u16,
        /// The cluster id in the file.
        cluster: u64,
        /// The id of this node.
        own_node_id: u16,
        /// The id of this node's cluster.
        own_cluster: u64,
    },
    /// The file has no intact header of this version.
    #[error("the file has no intact header of a consensus log of version {VERSION}")]
    InvalidHeader,
    /// A record is damaged, and intact records follow.
    #[error(
        "the record at byte {position} is damaged, and intact records follow: the disk changed stored data"
    )]
    Damaged {
        /// Position of the damaged record in the file, in bytes.
        position: usize,
    },
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("the file is longer than {MAX_FILE_BYTES} bytes")]
    TooLong,
}

/// The owner of a log file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub(crate) cluster: u64,
    pub(crate) node_id: NodeId,
}

/// The content of a log file.
pub(crate) struct ParsedLog {
    pub(crate) durable: DurableState,
    /// Number of bytes up to the end of the last intact record.
    pub(crate) intact_bytes: usize,
}

/// Encodes the header of a file.
pub(crate) fn encode_header(owner: Owner) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend(VERSION.to_le_bytes());
    header.extend(owner.cluster.to_le_bytes());
    header.extend(owner.node_id.0.to_le_bytes());
    header.extend(crc32fast::hash(&header).to_le_bytes());
    header
}

/// Encodes a record with its length, checksum and number.
pub(crate) fn encode_record(number: u64, record: &Record) -> Vec<u8> {
    // Encoding plain values into a vector cannot fail.
    let content = postcard::to_stdvec(record).unwrap_or_default();
    let mut framed = (content.len() as u32).to_le_bytes().to_vec();
    framed.extend([0; 4]);
    framed.extend(number.to_le_bytes());
    framed.extend(content);
    let checksum = crc32fast::hash(&framed[8..]);
    framed[4..8].copy_from_slice(&checksum.to_le_bytes());
    framed
}

/// Reads a file's intact records.
pub(crate) fn parse(bytes: &[u8], owner: Owner) -> Result<ParsedLog, Corruption> {
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(Corruption::TooLong);
    }
    check_header(bytes, owner)?;
    let mut durable = DurableState::default();
    let mut position = HEADER_BYTES;
    while let Some(found) = record_at(bytes, position, durable.last_number) {
        durable.apply(found.number, found.record);
        position = found.end;
    }
    // No intact record follows a torn tail. A damaged record that intact records follow was changed by the disk.
    let mut searched = position + 1..bytes.len().min(position + MAX_SEARCHED_BYTES);
    if searched.any(|position| record_at(bytes, position, durable.last_number).is_some()) {
        return Err(Corruption::Damaged { position });
    }
    Ok(ParsedLog { durable, intact_bytes: position })
}

fn check_header(bytes: &[u8], owner: Owner) -> Result<(), Corruption> {
    let header = bytes.get(..HEADER_BYTES).ok_or(Corruption::InvalidHeader)?;
    let checked = &header[..HEADER_BYTES - 4];
    let is_intact = &header[..8] == MAGIC
        && u32_at(header, 8) == VERSION
        && crc32fast::hash(checked) == u32_at(header, HEADER_BYTES - 4);
    if !is_intact {
        return Err(Corruption::InvalidHeader);
    }
    let (cluster, node_id) = (u64_at(header, 12), u16::from_le_bytes([header[20], header[21]]));
    if (cluster, node_id) != (owner.cluster, owner.node_id.0) {
        let (own_node_id, own_cluster) = (owner.node_id.0, owner.cluster);
        return Err(Corruption::Foreign { node_id, cluster, own_node_id, own_cluster });
    }
    Ok(())
}

/// An intact record in a file.
struct FoundRecord {
    number: u64,
    record: Record,
    /// Position after the record.
    end: usize,
}

/// Returns the intact record at a position, if there is one and its number is above `above`.
fn record_at(bytes: &[u8], position: usize, above: u64) -> Option<FoundRecord> {
    let frame = bytes.get(position..position + FRAME_BYTES)?;
    let length = u32_at(frame, 0) as usize;
    let (checksum, number) = (u32_at(frame, 4), u64_at(frame, 8));
    // The number is checked first, since a checksum over an arbitrary length is expensive.
    if number <= above || number - above > MAX_NUMBER_GAP {
        return None;
    }
    let end = (position + FRAME_BYTES).checked_add(length)?;
    let checked = bytes.get(position + 8..end)?;
    if crc32fast::hash(checked) != checksum {
        return None;
    }
    let (record, rest) = postcard::take_from_bytes(&checked[8..]).ok()?;
    rest.is_empty().then_some(FoundRecord { number, record, end })
}

fn u32_at(bytes: &[u8], position: usize) -> u32 {
    bytes
        .get(position..position + 4)
        .and_then(|bytes| bytes.try_into().ok())
        .map_or(0, u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], position: usize) -> u64 {
    bytes
        .get(position..position + 8)
        .and_then(|bytes| bytes.try_into().ok())
        .map_or(0, u64::from_le_bytes)
}
