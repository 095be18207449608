//! Reads an INI file and collects every error in it.

use std::collections::BTreeSet;
use std::fmt;
use std::path::Path;

use hibiscusrail_macros::record;
use ini::Ini;

use crate::value::Value;

/// One error in a settings file.
#[record]
pub struct SettingError {
    /// The file.
    pub file: String,
    /// The section; empty for the part before the first.
    pub section: String,
    /// The key; empty when the whole section or file is meant.
    pub key: String,
    /// The value found; none when it is missing.
    pub value: Option<String>,
    /// What is allowed there.
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
                write!(f, " {value}; allowed is {}", self.allowed)
            }
            Some(value) => write!(f, " = {value:?}: allowed is {}", self.allowed),
            None => write!(f, ": missing; allowed is {}", self.allowed),
        }
    }
}

/// All errors in a settings file.
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

/// Reads keys of a settings file one by one.
#[derive(Debug)]
pub struct Reader {
    file: String,
    ini: Ini,
    asked: BTreeSet<(String, String)>,
    errors: Vec<SettingError>,
}

impl Reader {
    /// Loads the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or is not INI.
    pub fn load(path: &Path) -> Result<Self, SettingErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| whole_file(&file, &e.to_string(), "a file that can be read"))?;
        Self::parse(&file, &text)
    }

    /// Reads settings from `text`; `file` names them in errors.
    ///
    /// # Errors
    ///
    /// Fails when `text` is not INI.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingErrors> {
        let ini = Ini::load_from_str(text)
            .map_err(|e| whole_file(file, &e.to_string(), "sections of key = value lines"))?;
        Ok(Self {
            file: file.to_owned(),
            ini,
            asked: BTreeSet::new(),
            errors: Vec::new(),
        })
    }

    /// Returns the sections whose names start with `prefix`, in order.
    #[must_use]
    pub fn sections(&self, prefix: &str) -> Vec<String> {
        self.ini
            .sections()
            .flatten()
            .filter(|s| s.starts_with(prefix))
            .map(str::to_owned)
            .collect()
    }

    fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.asked.insert((section.to_owned(), key.to_owned()));
        let text = self.ini.section(Some(section))?.get(key)?;
        Some(text.trim().to_owned())
    }

    /// Adds an error about a value.
    pub fn reject(&mut self, section: &str, key: &str, value: Option<String>, allowed: &str) {
        self.errors.push(SettingError {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            value,
            allowed: allowed.to_owned(),
        });
    }

    /// Adds an error about a value that is allowed by itself, but not beside others.
    pub fn conflict(&mut self, section: &str, key: &str, allowed: &str) {
        let value = self.text(section, key);
        self.reject(
            section,
            key,
            value.or(Some("(default)".to_owned())),
            allowed,
        );
    }

    /// Reads a key that must be there.
    pub fn required<T: Value>(&mut self, section: &str, key: &str) -> Option<T> {
        let text = self.text(section, key);
        let value = text.as_deref().and_then(T::parse);
        if value.is_none() {
            self.reject(section, key, text, T::ALLOWED);
        }
        value
    }

    /// Reads a key that may be left out.
    pub fn optional<T: Value>(&mut self, section: &str, key: &str, default: T) -> T {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        T::parse(&text).unwrap_or_else(|| {
            self.reject(section, key, Some(text), T::ALLOWED);
            default
        })
    }

    /// Ends reading: reports all errors, keys nobody asked for among them.
    ///
    /// # Errors
    ///
    /// Holds every error found.
    pub fn finish(mut self) -> Result<(), SettingErrors> {
        self.check_sections();
        self.check_keys();
        if self.errors.is_empty() {
            Ok(())
        } else {
            Err(SettingErrors(self.errors))
        }
    }

    /// Rejects sections that nobody asked for, or that stand twice.
    fn check_sections(&mut self) {
        let known: BTreeSet<&str> = self.asked.iter().map(|(s, _)| s.as_str()).collect();
        let mut seen = BTreeSet::new();
        let mut wrong = Vec::new();
        for section in self.ini.iter().filter_map(|(s, _)| s) {
            if !known.contains(section) {
                wrong.push((section.to_owned(), "a section that is known"));
            } else if !seen.insert(section) {
                wrong.push((section.to_owned(), "each section once"));
            }
        }
        for (section, allowed) in wrong {
            let found = Some("this section".to_owned());
            self.reject(&section, "", found, allowed);
        }
    }

    /// Rejects keys that nobody asked for, or that stand twice.
    fn check_keys(&mut self) {
        let known: BTreeSet<String> = self.asked.iter().map(|(s, _)| s.clone()).collect();
        let mut wrong = Vec::new();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or_default();
            // One error about an unknown section is enough.
            if !section.is_empty() && !known.contains(section) {
                continue;
            }
            let mut seen = BTreeSet::new();
            for (key, value) in properties.iter() {
                let asked = self.asked.contains(&(section.to_owned(), key.to_owned()));
                let allowed = if !asked {
                    "a key that is known here"
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

fn whole_file(file: &str, found: &str, allowed: &str) -> SettingErrors {
    SettingErrors(vec![SettingError {
        file: file.to_owned(),
        section: String::new(),
        key: String::new(),
        value: Some(found.to_owned()),
        allowed: allowed.to_owned(),
    }])
}
