//! Hosts the routers of one adapter process.

use super::WireError;
use super::actions::encode_action;
use super::codes::EventCode;
use super::events::{Tables, ValueDecoder, decode_entry, decode_event};
use super::fields::FieldReader;
use crate::{Micros, Router, Settings};
use std::collections::BTreeMap;

struct Instance {
    router: Router,
    values: ValueDecoder,
}

/// Hosts any number of routers, which don't influence each other, and handles one batch at a time.
#[derive(Default)]
pub struct RouterHost {
    instances: BTreeMap<u32, Instance>,
    tables: Tables,
    /// A message for each record that was skipped or dropped; the caller prints and removes them.
    pub warnings: Vec<String>,
}

impl RouterHost {
    /// Handles the records of one batch and returns the body of the reply.
    pub fn handle_batch(&mut self, now: Micros, records: u32, body: &[u8]) -> Result<Vec<u8>, WireError> {
        let mut frame = FieldReader::new(body);
        let mut reply = Vec::new();
        for index in 0..records {
            let code = frame.u8()?;
            let size = frame.u32()? as usize;
            let mut fields = FieldReader::new(frame.bytes(size)?);
            self.handle_record(now, code, &mut fields, &mut reply).map_err(|source| WireError::Record {
                index,
                code,
                source: Box::new(source),
            })?;
        }
        match frame.remaining() {
            0 => Ok(reply),
            trailing => Err(WireError::TrailingBytes(trailing)),
        }
    }

    fn handle_record(
        &mut self,
        now: Micros,
        code: u8,
        fields: &mut FieldReader<'_>,
        reply: &mut Vec<u8>,
    ) -> Result<(), WireError> {
        match EventCode::from_wire(code) {
            Some(EventCode::Table) => self.set_table(fields),
            Some(EventCode::Enlist) => self.start_instance(now, fields),
            Some(EventCode::Exit) => {
                let id = fields.u32()?;
                self.instances.remove(&id);
                Ok(())
            }
            Some(event) => self.handle_event(now, event, code, fields, reply),
            None => {
                self.warnings.push(format!("record of unknown code {code} skipped"));
                Ok(())
            }
        }
    }

    fn set_table(&mut self, fields: &mut FieldReader<'_>) -> Result<(), WireError> {
        let table = fields.u8()?;
        let rows = fields.u32()?;
        let entries = (0..rows).map(|_| decode_entry(fields)).collect::<Result<Vec<_>, _>>()?;
        self.tables.insert(table, entries);
        Ok(())
    }

    fn start_instance(&mut self, now: Micros, fields: &mut FieldReader<'_>) -> Result<(), WireError> {
        let id = fields.u32()?;
        let seed = fields.u64()?;
        let size = fields.u32()? as usize;
        let settings: Settings = serde_json::from_slice(fields.bytes(size)?).map_err(WireError::Settings)?;
        let values = ValueDecoder::new(&settings);
        self.instances.insert(id, Instance { router: Router::new(settings, seed, now), values });
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Micros,
        event: EventCode,
        code: u8,
        fields: &mut FieldReader<'_>,
        reply: &mut Vec<u8>,
    ) -> Result<(), WireError> {
        let id = fields.u32()?;
        let Some(instance) = self.instances.get_mut(&id) else {
            self.warnings
                .push(format!("event of code {code} for instance {id}, which is not running, dropped"));
            return Ok(());
        };
        let Some(event) = decode_event(event, fields, &instance.values, &self.tables)? else { return Ok(()) };
        let mut actions = Vec::new();
        instance.router.handle(now, event, &mut actions);
        for action in &actions {
            encode_action(id, action, reply);
        }
        Ok(())
    }
}
