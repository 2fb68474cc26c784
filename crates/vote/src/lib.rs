//! Agreement among the voters on one log of commands.
