//! The relay of a control machine: hands certified revisions and leases down to watchers.
