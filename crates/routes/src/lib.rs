//! Routes and pools, decided without I/O: `table` finds the route of a request, `share` the pool of a route that has
//! several, `backup` says when another pool steps in, `budget` bounds what repeats may cost a route. Time and chance
//! are handed in.
pub mod backup;
pub mod budget;
pub mod share;
pub mod table;
