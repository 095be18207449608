//! Reads an INI file key by key and collects every error in it.

use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;

use hibiscusrail_macros::record;
use ini::Ini;

use crate::value::Value;

/// One error in a settings file.
#[record]
pub struct SettingError {
    /// Name of the file.
    pub file: String,
    /// Section of the error; empty for keys before the first section.
    pub section: String,
    /// Key of the error; empty if the error concerns the whole section or file.
    pub key: String,
    /// Value found there; `None` if the key is missing.
    pub value: Option<String>,
    /// Description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file)?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        match &self.value {
            Some(value) if self.key.is_empty() => {
                write!(f, " {value}; expected {}", self.allowed)
            }
            Some(value) => write!(f, " = {value:?}: expected {}", self.allowed),
            None => write!(f, ": missing; expected {}", self.allowed),
        }
    }
}

/// All errors found in a settings file.
#[record]
pub struct SettingErrors(pub Vec<SettingError>);

impl fmt::Display for SettingErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingErrors {}

/// Reads the keys of a settings file and records errors and unknown keys.
#[derive(Debug)]
pub struct Reader {
    file: String,
    ini: Ini,
    /// Section and key of every setting requested so far; other keys are unknown.
    known_keys: BTreeSet<(String, String)>,
    errors: Vec<SettingError>,
}

impl Reader {
    /// Loads the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is not valid INI.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| file_error(&file, &e.to_string(), "a readable file"))?;
        Self::parse(&file, &text)
    }

    /// Reads settings from `text`; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not valid INI.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        let ini = Ini::load_from_str(text)
            .map_err(|e| file_error(file, &e.to_string(), "sections of key = value lines"))?;
        Ok(Self {
            file: file.to_owned(),
            ini,
            known_keys: BTreeSet::new(),
            errors: Vec::new(),
        })
    }

    /// Returns the names of the sections that start with `prefix`, in file order.
    #[must_use]
    pub fn sections(&self, prefix: &str) -> Vec<String> {
        self.ini
            .sections()
            .flatten()
            .filter(|s| s.starts_with(prefix))
            .map(str::to_owned)
            .collect()
    }

    /// Returns the trimmed text of a key and marks the key as known.
    fn raw_value(&mut self, section: &str, key: &str) -> Option<String> {
        self.known_keys.insert((section.to_owned(), key.to_owned()));
        let text = self.ini.section(Some(section))?.get(key)?;
        Some(text.trim().to_owned())
    }

    /// Records an error about the value of a key.
    pub fn reject(&mut self, section: &str, key: &str, value: Option<String>, allowed: &str) {
        self.errors.push(SettingError {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            value,
            allowed: allowed.to_owned(),
        });
    }

    /// Records an error about a value that is valid alone but conflicts with other settings.
    pub fn conflict(&mut self, section: &str, key: &str, allowed: &str) {
        let value = self.raw_value(section, key);
        self.reject(
            section,
            key,
            value.or(Some("(default)".to_owned())),
            allowed,
        );
    }

    /// Reads a required key; records an error if it is missing or malformed.
    pub fn required<T: Value>(&mut self, section: &str, key: &str) -> Option<T> {
        let text = self.raw_value(section, key);
        let value = text.as_deref().and_then(T::parse);
        if value.is_none() {
            self.reject(section, key, text, T::ALLOWED);
        }
        value
    }

    /// Reads an optional key; records an error if it is malformed.
    pub fn optional<T: Value>(&mut self, section: &str, key: &str, default: T) -> T {
        let Some(text) = self.raw_value(section, key) else {
            return default;
        };
        T::parse(&text).unwrap_or_else(|| {
            self.reject(section, key, Some(text), T::ALLOWED);
            default
        })
    }

    /// Finishes reading and also reports unknown and duplicate sections and keys.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn finish(mut self) -> Result<(), SettingErrors> {
        self.check_sections();
        self.check_keys();
        if self.errors.is_empty() {
            Ok(())
        } else {
            Err(SettingErrors(self.errors))
        }
    }

    /// Rejects unknown and duplicate sections.
    fn check_sections(&mut self) {
        let known_sections: BTreeSet<&str> =
            self.known_keys.iter().map(|(s, _)| s.as_str()).collect();
        let mut seen = BTreeSet::new();
        let mut wrong = Vec::new();
        for section in self.ini.iter().filter_map(|(s, _)| s) {
            if !known_sections.contains(section) {
                wrong.push((section.to_owned(), "a known section"));
            } else if !seen.insert(section) {
                wrong.push((section.to_owned(), "each section once"));
            }
        }
        for (section, allowed) in wrong {
            let found = Some("invalid section".to_owned());
            self.reject(&section, "", found, allowed);
        }
    }

    /// Rejects unknown and duplicate keys.
    fn check_keys(&mut self) {
        let known_sections: BTreeSet<String> =
            self.known_keys.iter().map(|(s, _)| s.clone()).collect();
        let mut wrong = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            // `check_sections` has already reported the unknown section.
            if !section.is_empty() && !known_sections.contains(section) {
                continue;
            }
            let mut seen = BTreeSet::new();
            for (key, value) in properties.iter() {
                let known = self
                    .known_keys
                    .contains(&(section.to_owned(), key.to_owned()));
                let allowed = if !known {
                    "a known key"
                } else if !seen.insert(key) {
                    "each key once"
                } else {
                    continue;
                };
                wrong.push((
                    section.to_owned(),
                    key.to_owned(),
                    value.to_owned(),
                    allowed,
                ));
            }
        }
        for (section, key, value, allowed) in wrong {
            self.reject(&section, &key, Some(value), allowed);
        }
    }
}

fn file_error(file: &str, found: &str, allowed: &str) -> SettingErrors {
    SettingErrors(vec![SettingError {
        file: file.to_owned(),
        section: String::new(),
        key: String::new(),
        value: Some(found.to_owned()),
        allowed: allowed.to_owned(),
    }])
}
