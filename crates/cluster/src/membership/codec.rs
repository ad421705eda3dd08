//! The format of membership messages: that of `foca`, with limits on the length and number of names, since any holder of the
//! key could otherwise announce an unlimited number of members.

use super::{Identity, MAX_MEMBERS, MAX_NAME_BYTES};
use bytes::{Buf, BufMut};
use foca::{Header, Member, PostcardCodec};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// Known names, including those of members that are down.
pub(super) type KnownNames = Rc<RefCell<BTreeSet<String>>>;

/// Why a membership message is rejected.
#[derive(Debug)]
pub enum DecodeError {
    /// It is not in the format of `foca`, with the error of its decoder.
    Malformed(String),
    /// A member's name is longer than [`MAX_NAME_BYTES`].
    NameTooLong,
    /// It names a new member while [`MAX_MEMBERS`] are already known.
    TooManyMembers,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Malformed(why) => f.write_str(why),
            DecodeError::NameTooLong => f.write_str("member name too long"),
            DecodeError::TooManyMembers => f.write_str("too many members"),
        }
    }
}

impl std::error::Error for DecodeError {}

fn malformed(error: impl fmt::Display) -> DecodeError {
    DecodeError::Malformed(error.to_string())
}

fn check_name(id: &Identity) -> Result<(), DecodeError> {
    if id.name.len() > MAX_NAME_BYTES {
        return Err(DecodeError::NameTooLong);
    }
    Ok(())
}

pub(super) struct Codec {
    postcard: PostcardCodec,
    names: KnownNames,
}

impl Codec {
    pub(super) fn new(names: KnownNames) -> Codec {
        Codec {
            postcard: PostcardCodec,
            names,
        }
    }

    fn check_member_limit(&self, id: &Identity) -> Result<(), DecodeError> {
        let names = self.names.borrow();
        if names.len() >= MAX_MEMBERS && !names.contains(&id.name) {
            return Err(DecodeError::TooManyMembers);
        }
        Ok(())
    }
}

impl foca::Codec<Identity> for Codec {
    type Error = DecodeError;

    fn encode_header(
        &mut self,
        header: &Header<Identity>,
        buf: impl BufMut,
    ) -> Result<(), DecodeError> {
        self.postcard.encode_header(header, buf).map_err(malformed)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>, DecodeError> {
        let header: Header<Identity> = self.postcard.decode_header(buf).map_err(malformed)?;
        check_name(&header.src)?;
        check_name(&header.dst)?;
        self.check_member_limit(&header.src)?;
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &Member<Identity>,
        buf: impl BufMut,
    ) -> Result<(), DecodeError> {
        self.postcard.encode_member(member, buf).map_err(malformed)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>, DecodeError> {
        let member: Member<Identity> = self.postcard.decode_member(buf).map_err(malformed)?;
        check_name(member.id())?;
        self.check_member_limit(member.id())?;
        Ok(member)
    }
}
