//! Numbered log events with a catalogue, and rate-limited log output.
//!
//! [`events!`] declares the events of a program: number, level, name, fields and text.
//! [`init_logging`] sends the log to standard output. It never blocks on the reader, and
//! writes a limited number of lines a second. Dropped lines are counted and reported.

mod output;

pub use output::init_logging;

/// Declares the events of a program as an enum `Event`, with `emit` and `catalogue`.
#[macro_export]
macro_rules! events {
    ($($number:literal $level:ident $name:ident $fields:tt $text:literal;)*) => {
        /// An event that is logged for operators.
        #[derive(Clone, Debug, derive_more::Display)]
        pub enum Event<'a> {
            $(
                #[doc = $text]
                #[display($text)]
                $name $fields,
            )*
            /// Cannot be constructed. It uses the lifetime, which other variants may not.
            #[display("")]
            #[doc(hidden)]
            #[allow(dead_code)]
            Never(std::convert::Infallible, &'a ()),
        }

        impl Event<'_> {
            fn number_and_level(&self) -> (u16, log::Level) {
                match self {
                    $(Self::$name { .. } => ($number, log::Level::$level),)*
                    Self::Never(never, _) => match *never {},
                }
            }
        }

        /// Number, level, name and text of every event.
        pub const CATALOGUE: &[(u16, &str, &str, &str)] =
            &[$(($number, stringify!($level), stringify!($name), $text),)*];

        /// Writes an event to the log.
        pub fn emit(event: &Event<'_>) {
            let (number, level) = event.number_and_level();
            log::log!(target: "berylbay", level, "[{number}] {event}");
        }

        /// The catalogue as a Markdown table.
        pub fn catalogue() -> String {
            let mut text =
                String::from("| number | level | name | text |\n|---|---|---|---|\n");
            for (number, level, name, what) in CATALOGUE {
                text += &format!("| {number} | {level} | {name} | {what} |\n");
            }
            text
        }
    };
}
