//! The form of a process's numbered log events.

/// Defines a process's numbered log events: name, number, level, summary and, if listed, the names of
/// the fields that come with each.
#[macro_export]
macro_rules! log_events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $level:ident, $summary:literal
        $(, [$($field:literal),*])?;)+) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum LogEvent {$(
            $(#[$doc])*
            $name,
        )+}

        impl LogEvent {
            /// All events, by number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// The event's number; never reused for another event.
            #[must_use]
            pub const fn code(self) -> u16 {
                match self {$(Self::$name => $code,)+}
            }

            /// How loud the event is.
            #[must_use]
            pub const fn level(self) -> $crate::Level {
                match self {$(Self::$name => $crate::Level::$level,)+}
            }

            /// The event in a few words.
            #[must_use]
            pub const fn summary(self) -> &'static str {
                match self {$(Self::$name => $summary,)+}
            }

            /// Names of the fields that come with it, where they are listed.
            #[must_use]
            pub const fn fields(self) -> &'static [&'static str] {
                match self {$(Self::$name => &[$($($field),*)?],)+}
            }
        }
    };
}
