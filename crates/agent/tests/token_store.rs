//! Fencing tokens over restarts and torn files.
use notchspool_agent::fleet::token_store::TokenStore;
use notchspool_consensus::Token;

#[test]
fn tokens_outlive_a_restart_and_a_torn_file_is_none() {
    let folder = std::env::temp_dir().join(format!("notchspool-tokens-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    let mut tokens = TokenStore::open(&folder, "n1").expect("a folder");
    assert!(!tokens.known);
    tokens.learn("orders", Token(0)).expect("kept");
    assert!(TokenStore::open(&folder, "n1").expect("again").known);
    tokens.admit("orders", Token(5)).expect("new");
    let mut tokens = TokenStore::open(&folder, "n1").expect("again");
    assert!(tokens.known && tokens.admit("orders", Token(4)).is_err());
    tokens.admit("orders", Token(5)).expect("the same");
    let path = folder.join("tokens-n1");
    let complete = std::fs::read_to_string(&path).expect("kept");
    for end in 0..complete.len() {
        std::fs::write(&path, &complete[..end]).expect("torn");
        assert!(!TokenStore::open(&folder, "n1").expect("again").known, "cut at {end}");
    }
    std::fs::remove_dir_all(&folder).expect("removed");
}
