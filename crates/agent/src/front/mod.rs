//! Where requests of clients come in: each front turns what its protocol says into a request to a balancer, and the final answer back.
pub mod fastcgi_front;
pub mod platform_front;
pub mod routed_front;
