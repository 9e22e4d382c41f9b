//! Command line of `chestnutloft`.

#![allow(missing_docs)]

use std::path::PathBuf;

xflags::xflags! {
    /// The operators' command line of chestnutloft.
    cmd chestnutloft {
        /// Operator address of a keeper, IP:port; may be given several times.
        repeated --keeper keeper: String
        /// File with the operator's key.
        optional --key-file key_file: PathBuf
        /// Name under which changes are recorded.
        optional --operator operator: String
        /// `text` or `json`.
        optional --output output: String

        /// Commands on plan sheets.
        cmd plan {
            /// Lists all findings of plan sheets.
            cmd check {
                /// Folder of CSV files, or a workbook.
                required sheet: PathBuf
            }
            /// Shows what plan sheets would change in the plan.
            cmd diff {
                /// Folder of CSV files, or a workbook.
                required sheet: PathBuf
            }
            /// Submits plan sheets and waits until they are in force.
            cmd apply {
                /// Folder of CSV files, or a workbook.
                required sheet: PathBuf
                /// Plan revision that the sheets are based on; the latest by default.
                optional --base base: u64
            }
        }
        /// Lists errors and warnings of plan sheets. Exit status: 0 clean, 1 warnings, 2 errors.
        cmd config {
            /// `check`.
            required action: String
            /// Folder of CSV files, or a workbook.
            required file: PathBuf
            /// Plan sheets to show the differences from, for example those in force.
            optional --against against: PathBuf
        }
        /// Shows revisions, domains, versions, keepers, entries and roll-outs.
        cmd status {}
        /// Shows the totals of all bills, as JSON.
        cmd spend {}
        /// Takes a failure domain out of service.
        cmd drain {
            /// The failure domain.
            required domain: String
        }
        /// Puts a failure domain back into service.
        cmd return {
            /// The failure domain.
            required domain: String
        }
        /// Withdraws a version permanently.
        cmd withdraw {
            /// The version, `model@version`.
            required version: String
            /// Version that its sessions move to.
            optional --successor successor: String
        }
        /// Ends the quarantine of a version.
        cmd clear {
            /// The version, `model@version`.
            required version: String
        }
        /// Stops, continues or rolls back a roll-out.
        cmd rollout {
            /// The roll-out.
            required rollout: String
            /// `stop`, `go-on` or `back`.
            required action: String
        }
        /// Adds or removes a keeper.
        cmd members {
            /// `add` or `remove`.
            required action: String
            /// Replica id of the keeper.
            required replica: u64
            /// RPC address, for `add`.
            optional address: String
        }
        /// Shows how a request was routed, and why.
        cmd explain {
            /// Request id, from header x-request-id.
            required request: String
            /// Address of an entry, IP:port; may be given several times.
            repeated --entry entry: String
        }
        /// Reads a key from standard input and prints its hash, for plans and settings.
        cmd hash-key {}
    }
}
